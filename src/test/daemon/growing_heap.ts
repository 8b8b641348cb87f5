/** Fills most of the heap twice and exits once nothing is left to do; run with `--expose-gc`. */
import { heapUse } from '../../daemon/heap_use.js';
import { HeapWatch } from '../../daemon/heap_watch.js';
import { LineLog } from '../../logs/log.js';
import { standardOutput } from '../../logs/sink.js';
import { MachineClock } from '../../runtime/clock.js';

const SAMPLE_INTERVAL_MS = 50;
const WAIT_MS = 200;
const FULL_SHARE = 0.85;
const PIECE_LENGTH = 10_000;

const clock = new MachineClock();
const log = new LineLog('arima-1', 'info', standardOutput(), clock);
// Not disposed: its timer must not keep the process alive.
void new HeapWatch(log, SAMPLE_INTERVAL_MS);

/** Holds most of the heap for some samples, then releases it. */
async function grow(): Promise<void> {
  const held: number[][] = [];
  for (let { usedBytes, limitBytes } = heapUse(); usedBytes < limitBytes * FULL_SHARE;) {
    held.push(new Array<number>(PIECE_LENGTH).fill(held.length));
    ({ usedBytes, limitBytes } = heapUse());
  }
  await clock.sleepUntil(clock.now() + WAIT_MS);
  held.length = 0;
  global.gc!();
  await clock.sleepUntil(clock.now() + WAIT_MS);
}

await grow();
await grow();
await log.drain(clock.now() + WAIT_MS);

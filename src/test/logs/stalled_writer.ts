/** Writes more lines than a pipe holds, says on standard error that it is done, and ends. */
import { LineLog } from '../../logs/log.js';
import { standardOutput } from '../../logs/sink.js';
import { MachineClock } from '../../runtime/clock.js';

const LINES = 5_000;
const DRAIN_MS = 500;

const clock = new MachineClock();
const log = new LineLog('arima-1', 'info', standardOutput(), clock);
for (let line = 0; line < LINES; line++) log.record('info', { event: 'reloaded' });
await log.drain(clock.now() + DRAIN_MS);
process.stderr.write(`${JSON.stringify(log.dropped)}\n`);
// eslint-disable-next-line n/no-process-exit -- as the daemon on the platform ends
process.exit(0);

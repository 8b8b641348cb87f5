/** Writes more lines than a pipe holds, prints the dropped ones to standard error, and exits. */
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
// eslint-disable-next-line n/no-process-exit -- exits as the daemon on the platform does
process.exit(0);

/** Writes more lines than a pipe holds, says so on standard error, and throws. */
import { exitOnUncaughtException } from '../../daemon/uncaught_exception.js';
import { LineLog } from '../../logs/log.js';
import { standardOutput } from '../../logs/sink.js';
import { MachineClock } from '../../runtime/clock.js';

/** More than a pipe holds, and fewer than the pipe and the buffer hold together. */
const LINES = 1_500;
const DRAIN_MS = 500;

const clock = new MachineClock();
const faultExit = exitOnUncaughtException('arima-1');
const log = new LineLog('arima-1', 'info', standardOutput(), clock);
faultExit.log = log;
for (let version = 0; version < LINES; version++) log.record('info', { event: 'ready', version });
await log.drain(clock.now() + DRAIN_MS);
process.stderr.write('faulting\n');
throw new TypeError('no such slot');

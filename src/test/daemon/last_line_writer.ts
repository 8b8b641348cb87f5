/**
 * Writes more lines than a pipe holds, says so on standard error, and exits with a last line for which
 * it waits as long as the first argument says, in milliseconds. With `early` it exits before it has a log.
 */
import { endOf, writeLastLine } from '../../daemon/last_line.js';
import { LineLog, SilentLog } from '../../logs/log.js';
import { standardOutput } from '../../logs/sink.js';
import { MachineClock } from '../../runtime/clock.js';

/** More than a pipe holds, and fewer than the pipe and the buffer hold together. */
const LINES = 1_500;
const DRAIN_MS = 500;

const clock = new MachineClock();
const [, , timeoutMs, stage] = process.argv;

async function fillPipe(): Promise<LineLog> {
  const log = new LineLog('arima-1', 'info', standardOutput(), clock);
  for (let version = 0; version < LINES; version++) log.record('info', { event: 'ready', version });
  await log.drain(clock.now() + DRAIN_MS);
  return log;
}

const log = stage === 'early' ? new SilentLog() : await fillPipe();
process.stderr.write('ending\n');
const end = endOf('uncaughtException', new TypeError('no such slot'));
writeLastLine('arima-1', end, log, Number(timeoutMs));
// eslint-disable-next-line n/no-process-exit -- exits as after an exception
process.exit(1);

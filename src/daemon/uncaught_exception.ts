/** Logs an uncaught exception as the last line of the process. */
import { type Log, SilentLog } from '../logs/log.js';
import { EXIT_FAULT } from './exit.js';
import { endOf, writeLastLine } from './last_line.js';

/** What an uncaught exception ends, as far as the process has started. */
export interface FaultExit {
  /** Its lines are written before the last one. */
  log: Log;
}

/**
 * Logs an uncaught exception or unhandled rejection and exits with `EXIT_FAULT`. By default Node
 * would only print a stack to standard error, with a position in the bundle and no time, and the
 * log would break off without a cause.
 */
export function exitOnUncaughtException(instance: string): FaultExit {
  const faultExit: FaultExit = { log: new SilentLog() };
  process.once('uncaughtException', (error: unknown, origin) => {
    writeLastLine(instance, endOf(origin, error), faultExit.log);
    // eslint-disable-next-line n/no-process-exit -- timers and sockets may be left open
    process.exit(EXIT_FAULT);
  });
  return faultExit;
}

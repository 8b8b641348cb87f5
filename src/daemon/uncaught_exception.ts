/** Logs an uncaught exception as the last line of the process. */
import { EXIT_FAULT } from './exit.js';
import { endOf, writeLastLine } from './last_line.js';

/**
 * Logs an uncaught exception or unhandled rejection and exits with `EXIT_FAULT`. By default Node
 * would only print a stack to standard error, with a position in the bundle and no time, and the
 * log would break off without a cause.
 */
export function exitOnUncaughtException(instance: string): void {
  process.once('uncaughtException', (error: unknown, origin) => {
    writeLastLine(instance, endOf(origin, error));
    // eslint-disable-next-line n/no-process-exit -- timers and sockets may be left open
    process.exit(EXIT_FAULT);
  });
}

/** Logs an uncaught exception as the last line of the process. */
import { writeSync } from 'node:fs';
import { type LogEvent } from '../logs/log.js';
import { EXIT_FAULT } from './exit.js';

const STANDARD_OUTPUT = 1;
/** Characters of the stack that are logged: the line has to fit into one write. */
const MAX_STACK_LENGTH = 2_000;

/**
 * Logs an uncaught exception or unhandled rejection and exits with `EXIT_FAULT`. By default Node
 * would only print a stack to standard error, with a position in the bundle and no time, and the
 * log would break off without a cause. The line is written synchronously, since nothing else in
 * the process can be relied on to run any more.
 */
export function exitOnUncaughtException(instance: string): void {
  process.once('uncaughtException', (error: unknown, origin) => {
    const { message, stack = '' } = error instanceof Error ? error : new Error(String(error));
    const event: LogEvent = {
      event: 'ended',
      origin,
      message,
      stack: stack.slice(0, MAX_STACK_LENGTH),
    };
    const line = { level: 'warn', instance, at: Date.now(), ...event };
    try {
      // eslint-disable-next-line n/no-sync -- the process exits right after it
      writeSync(STANDARD_OUTPUT, `${JSON.stringify(line)}\n`);
    } catch {
      // The pipe is closed or full; there is nowhere else to report the exception.
    }
    // eslint-disable-next-line n/no-process-exit -- timers and sockets may be left open
    process.exit(EXIT_FAULT);
  });
}

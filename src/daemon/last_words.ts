/** The last line of a process that ends by a fault of its own. */
import { writeSync } from 'node:fs';
import { type Recorded } from '../logs/log.js';
import { EXIT_FAULT } from './exit.js';

const STANDARD_OUTPUT = 1;
/** Characters of the stack that are told; a line has to fit into one write. */
const MAX_STACK = 2_000;

/**
 * Without it a process that throws where nobody catches is gone, and its lines end in the middle:
 * what it printed on standard error names a place in the bundle and no time. The line is written at
 * once, since nothing else of the process can be trusted to run any more.
 */
export function sayLastWords(instance: string): void {
  process.once('uncaughtException', (error: unknown, origin) => {
    const { message, stack = '' } = error instanceof Error ? error : new Error(String(error));
    const event: Recorded = { event: 'ended', origin, message, stack: stack.slice(0, MAX_STACK) };
    const line = { level: 'warn', instance, at: Date.now(), ...event };
    try {
      // eslint-disable-next-line n/no-sync -- the process ends with the next line
      writeSync(STANDARD_OUTPUT, `${JSON.stringify(line)}\n`);
    } catch {
      // Nobody reads, or the pipe is full: there is nowhere else to say it.
    }
    // eslint-disable-next-line n/no-process-exit -- what threw may leave timers and sockets behind
    process.exit(EXIT_FAULT);
  });
}

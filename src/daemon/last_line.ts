/** The last line of a process that ends though it was not asked to stop. */
import { inspect } from 'node:util';
import { type ProcessEvent } from '../logs/events.js';
import { MAX_WRITE_BYTES } from '../logs/line_buffer.js';
import { type Log, SilentLog } from '../logs/log.js';
import { sinkOf, standardOutput } from '../logs/sink.js';
import { MachineClock } from '../runtime/clock.js';

const STANDARD_ERROR = 2;
/** Most characters of the stack; it is shortened further if the line does not fit into one write. */
const MAX_STACK_LENGTH = 2_000;
/** How long the reader of standard output may stall before standard error is used, in milliseconds. */
const READER_TIMEOUT_MS = 500;
const ERROR_TIMEOUT_MS = 100;

type EndedLine = Extract<ProcessEvent, { readonly event: 'ended' }>;
/** Why a process ends. */
export type End = Omit<EndedLine, 'event' | 'lostLines'>;

/** Describes the exception, of whatever type, that ends the process. */
export function endOf(origin: string, error: unknown): End {
  try {
    if (!(error instanceof Error)) return { origin, message: inspect(error), stack: '' };
    return { origin, message: String(error.message), stack: String(error.stack ?? '') };
  } catch {
    // A getter of the value threw, or a proxy.
    return { origin, message: 'an exception that cannot be described', stack: '' };
  }
}

/**
 * Writes `ended` before it returns, since nothing else in the process can be relied on to run any
 * more: to standard output after all lines of `log`, or to standard error if the reader of standard
 * output stalls. Lines of `log` are given up after half of that time.
 */
export function writeLastLine(
  instance: string,
  end: End,
  log: Log = new SilentLog(),
  timeoutMs: number = READER_TIMEOUT_MS,
): void {
  const clock = new MachineClock();
  // Sinks make pipes non-blocking: a full one would keep the process from exiting.
  const output = standardOutput();
  const at = Math.round(clock.now());
  const lostLines = log.drainSynchronously(clock.now() + timeoutMs / 2);
  const line = lineOf(instance, at, { event: 'ended', ...end, lostLines });
  if (output.writeSynchronously(line, clock.now() + timeoutMs, clock)) return;
  sinkOf(STANDARD_ERROR).writeSynchronously(line, clock.now() + ERROR_TIMEOUT_MS, clock);
}

/** The line with its line break, which fits into one atomic write. */
function lineOf(instance: string, at: number, ended: EndedLine): string {
  for (let length = MAX_STACK_LENGTH; ; length = Math.floor(length / 2)) {
    const message = ended.message.slice(0, length);
    const stack = ended.stack.slice(0, length);
    const line = `${JSON.stringify({ level: 'warn', instance, at, ...ended, message, stack })}\n`;
    if (length === 0 || Buffer.byteLength(line) <= MAX_WRITE_BYTES) return line;
  }
}

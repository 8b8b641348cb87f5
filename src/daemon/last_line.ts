/** The last line of a process that ends though it was not asked to stop. */
import { inspect } from 'node:util';
import { type ProcessEvent } from '../logs/events.js';
import { MAX_WRITE_BYTES } from '../logs/line_buffer.js';
import { sinkOf } from '../logs/sink.js';
import { writeSynchronously } from '../logs/synchronous_write.js';
import { MachineClock } from '../runtime/clock.js';

const STANDARD_OUTPUT = 1;
const STANDARD_ERROR = 2;
/** Most characters of the stack; it is shortened further if the line does not fit into one write. */
const MAX_STACK_LENGTH = 2_000;
/** How long a reader of standard output may stall before standard error is used, in milliseconds. */
const OUTPUT_TIMEOUT_MS = 500;
const ERROR_TIMEOUT_MS = 100;

type EndedLine = Extract<ProcessEvent, { readonly event: 'ended' }>;
/** Why a process ends. */
export type End = Omit<EndedLine, 'event'>;

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
 * more: to standard output, or to standard error if the reader of standard output stalls.
 */
export function writeLastLine(instance: string, end: End): void {
  const clock = new MachineClock();
  const line = lineOf(instance, end, Math.round(clock.now()));
  if (writeSynchronously(STANDARD_OUTPUT, line, clock.now() + OUTPUT_TIMEOUT_MS, clock)) return;
  // Makes a pipe non-blocking: a full one would keep the process from exiting.
  sinkOf(STANDARD_ERROR);
  writeSynchronously(STANDARD_ERROR, line, clock.now() + ERROR_TIMEOUT_MS, clock);
}

/** The line with its line break, which fits into one atomic write. */
function lineOf(instance: string, { origin, message, stack }: End, at: number): string {
  for (let length = MAX_STACK_LENGTH; ; length = Math.floor(length / 2)) {
    const texts = { message: message.slice(0, length), stack: stack.slice(0, length) };
    const line = { level: 'warn', instance, at, event: 'ended', origin, ...texts };
    const text = `${JSON.stringify(line)}\n`;
    if (length === 0 || Buffer.byteLength(text) <= MAX_WRITE_BYTES) return text;
  }
}

/** Writes that end before the call returns, for the last lines of a process. */
import { writeSync } from 'node:fs';
import { type Clock } from '../runtime/clock.js';

/** Interval of attempts while the reader of a pipe stalls, in milliseconds. */
const RETRY_INTERVAL_MS = 5;

const neverNotified = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));

/**
 * Writes a text to a descriptor that may be non-blocking. While a pipe is full it blocks the process
 * and tries again until `deadline` (milliseconds since the epoch). Returns false if the text is not
 * written by then, or the descriptor is closed. Up to `PIPE_BUF` bytes are written whole or not at all.
 */
export function writeSynchronously(
  descriptor: number,
  text: string,
  deadline: number,
  clock: Clock,
): boolean {
  let rest = Buffer.from(text);
  while (rest.length > 0) {
    try {
      // eslint-disable-next-line n/no-sync -- the process exits right after it
      rest = rest.subarray(writeSync(descriptor, rest));
    } catch (error) {
      const isFull = (error as NodeJS.ErrnoException).code === 'EAGAIN';
      if (!isFull || clock.now() >= deadline) return false;
      Atomics.wait(neverNotified, 0, 0, RETRY_INTERVAL_MS);
    }
  }
  return true;
}

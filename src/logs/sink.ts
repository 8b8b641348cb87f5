/** Destinations of log lines. */
import { write } from 'node:fs';
import { Socket } from 'node:net';
import { type Clock } from '../runtime/clock.js';
import { writeSynchronously } from './synchronous_write.js';

export abstract class Sink {
  /** Whether the text of a write waits in this process for the descriptor to become writable. */
  abstract readonly isWaiting: boolean;

  /** Resolves when the text is written; rejects if that fails. Never blocks the event loop. */
  abstract write(text: string): Promise<void>;

  /**
   * Blocks until the text is written, or until `deadline` (milliseconds since the epoch); returns
   * whether it is. A write that waits is overtaken.
   */
  abstract writeSynchronously(text: string, deadline: number, clock: Clock): boolean;
}

/**
 * Writes to a pipe or socket without blocking. `process.stdout` writes to pipes synchronously, so a
 * stalled reader would block the process. `fs.write` would block a thread of libuv's pool instead,
 * which keeps the process from exiting until the reader continues. A socket waits for the
 * descriptor to become writable.
 */
export class PipeSink extends Sink {
  readonly #socket: Socket;

  /** Throws if the descriptor is neither a pipe nor a socket. */
  constructor(private readonly descriptor: number) {
    super();
    this.#socket = new Socket({ fd: descriptor, readable: false, writable: true });
    // Errors are reported by the callback of each write.
    this.#socket.on('error', () => {});
    this.#socket.unref();
  }

  get isWaiting(): boolean {
    return this.#socket.writableLength > 0;
  }

  write(text: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#socket.write(text, (error) => (error ? reject(error) : resolve()));
    });
  }

  writeSynchronously(text: string, deadline: number, clock: Clock): boolean {
    return writeSynchronously(this.descriptor, text, deadline, clock);
  }
}

/** Writes to a file or terminal. */
export class FileSink extends Sink {
  /** A thread of the pool does not wait for a file, and its write ends before the process does. */
  readonly isWaiting = false;

  constructor(private readonly descriptor: number) {
    super();
  }

  write(text: string): Promise<void> {
    return new Promise((resolve, reject) => {
      write(this.descriptor, text, (error) => (error ? reject(error) : resolve()));
    });
  }

  writeSynchronously(text: string, deadline: number, clock: Clock): boolean {
    return writeSynchronously(this.descriptor, text, deadline, clock);
  }
}

/** Creates the sink for the type of a descriptor. */
export function sinkOf(descriptor: number): Sink {
  try {
    return new PipeSink(descriptor);
  } catch {
    // Node creates sockets only from pipes and sockets.
    return new FileSink(descriptor);
  }
}

const STANDARD_OUTPUT = 1;

export function standardOutput(): Sink {
  return sinkOf(STANDARD_OUTPUT);
}

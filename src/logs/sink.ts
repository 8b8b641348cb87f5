/** Destinations of log lines. */
import { write } from 'node:fs';
import { Socket } from 'node:net';

export abstract class Sink {
  /** Resolves when the text is written; rejects if that fails. Never blocks the event loop. */
  abstract write(text: string): Promise<void>;
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
  constructor(descriptor: number) {
    super();
    this.#socket = new Socket({ fd: descriptor, readable: false, writable: true });
    // Errors are reported by the callback of each write.
    this.#socket.on('error', () => {});
    this.#socket.unref();
  }

  write(text: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#socket.write(text, (error) => (error ? reject(error) : resolve()));
    });
  }
}

/** Writes to a file or terminal. */
export class FileSink extends Sink {
  constructor(private readonly descriptor: number) {
    super();
  }

  write(text: string): Promise<void> {
    return new Promise((resolve, reject) => {
      write(this.descriptor, text, (error) => (error ? reject(error) : resolve()));
    });
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

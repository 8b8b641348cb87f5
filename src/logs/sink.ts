/** Where lines go. */
import { write } from 'node:fs';
import { Socket } from 'node:net';

export abstract class Sink {
  /** Resolves when the text is handed over; rejects if it cannot be. Never blocks. */
  abstract write(text: string): Promise<void>;
}

/**
 * A pipe or a socket. Node writes to a pipe on its own standard output synchronously, so a reader
 * who stops reading would stop the process. A write by Node's pool of threads would not, but its
 * thread would keep the process from ending until the reader goes on. Here the system says when
 * there is room again, and nobody waits.
 */
export class PipeSink extends Sink {
  readonly #socket: Socket;

  /** Throws if the descriptor is neither a pipe nor a socket. */
  constructor(descriptor: number) {
    super();
    this.#socket = new Socket({ fd: descriptor, readable: false, writable: true });
    // Each write tells of its own failure.
    this.#socket.on('error', () => {});
    this.#socket.unref();
  }

  write(text: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#socket.write(text, (error) => (error ? reject(error) : resolve()));
    });
  }
}

/** A file, which takes all at once, or a terminal. */
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

/** The sink that fits what a descriptor is. */
export function sinkOf(descriptor: number): Sink {
  try {
    return new PipeSink(descriptor);
  } catch {
    // Sockets cannot be made of files.
    return new FileSink(descriptor);
  }
}

const STANDARD_OUTPUT = 1;

export function standardOutput(): Sink {
  return sinkOf(STANDARD_OUTPUT);
}

/** Where lines go. */
import { write } from 'node:fs';

export abstract class Sink {
  /** Resolves when the text is handed over; rejects if it cannot be. Never blocks. */
  abstract write(text: string): Promise<void>;
}

/** How long a full pipe is left alone before it is tried again, in milliseconds. */
const FULL_MS = 50;

/**
 * A file descriptor. Node writes to a pipe on its own standard output synchronously, so a reader
 * who stops reading would stop the whole process; here only one thread of Node's pool waits.
 */
export class DescriptorSink extends Sink {
  constructor(private readonly descriptor: number) {
    super();
  }

  async write(text: string): Promise<void> {
    const bytes = Buffer.from(text);
    let from = 0;
    while (from < bytes.length) from += await this.#writeSome(bytes, from);
  }

  #writeSome(bytes: Buffer, from: number): Promise<number> {
    return new Promise((resolve, reject) => {
      write(this.descriptor, bytes, from, bytes.length - from, null, (error, written) => {
        if (!error) resolve(written);
        else if (error.code === 'EAGAIN') setTimeout(() => resolve(0), FULL_MS).unref();
        else reject(error);
      });
    });
  }
}

/** Descriptor 1. */
export const STANDARD_OUTPUT = new DescriptorSink(1);

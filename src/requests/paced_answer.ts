/** A heavy answer on its way out, in pieces, each when the link has a turn for it. */
import { once } from 'node:events';
import { type ServerResponse } from 'node:http';
import { Writable } from 'node:stream';
import { type Departure, PIECE_BYTES } from '../admission/uplink.js';

/**
 * Bytes held of one answer. The upstream instance is free again once its answer has been read, and
 * most answers are shorter than this; a longer one is read on as it leaves.
 */
const HELD_BYTES = 256 * 1024;

/* eslint-disable no-underscore-dangle -- names that Node gives to the parts of a stream */
/** Takes the body of an answer; `response` ends when all of it has been written. */
export class PacedAnswer extends Writable {
  constructor(
    private readonly response: ServerResponse,
    private readonly departure: Departure,
  ) {
    super({ highWaterMark: HELD_BYTES });
    response.once('close', () => this.destroy());
  }

  override _write(chunk: Buffer, _: BufferEncoding, done: (error?: Error | null) => void): void {
    this.#let(chunk).then(() => done(), done);
  }

  override _final(done: (error?: Error | null) => void): void {
    this.response.end();
    done();
  }

  override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    this.departure[Symbol.dispose]();
    done(error);
  }

  async #let(chunk: Buffer): Promise<void> {
    for (let start = 0; start < chunk.length; start += PIECE_BYTES) {
      const piece = chunk.subarray(start, start + PIECE_BYTES);
      await this.departure.turn(piece.length);
      if (!this.response.write(piece)) await this.#drained();
    }
  }

  /** Once the caller takes more; its end destroys this stream, and nobody waits any longer. */
  async #drained(): Promise<void> {
    if (!this.response.destroyed) await once(this.response, 'drain');
  }
}

/** Writes a large response in pieces, each when the uplink schedules it. */
import { once } from 'node:events';
import { type ServerResponse } from 'node:http';
import { Writable } from 'node:stream';
import { type Reservation, PIECE_BYTES } from '../admission/uplink.js';

/**
 * Bytes buffered of one response. The upstream instance is free again once its response has been
 * read, and most responses are shorter than this; a longer one is read on as it is written.
 */
const BUFFER_BYTES = 256 * 1024;

/* eslint-disable no-underscore-dangle -- method names prescribed by Node for streams */
/** Receives the body of a response and paces it to `response`, which ends once all is written. */
export class PacedResponse extends Writable {
  constructor(
    private readonly response: ServerResponse,
    private readonly reservation: Reservation,
  ) {
    super({ highWaterMark: BUFFER_BYTES });
    response.once('close', () => this.destroy());
  }

  override _write(chunk: Buffer, _: BufferEncoding, done: (error?: Error | null) => void): void {
    this.#writePaced(chunk).then(() => done(), done);
  }

  override _final(done: (error?: Error | null) => void): void {
    this.response.end();
    done();
  }

  override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    this.reservation[Symbol.dispose]();
    done(error);
  }

  async #writePaced(chunk: Buffer): Promise<void> {
    for (let start = 0; start < chunk.length; start += PIECE_BYTES) {
      const piece = chunk.subarray(start, start + PIECE_BYTES);
      await this.reservation.waitForTurn(piece.length);
      if (!this.response.write(piece)) await this.#waitForDrain();
    }
  }

  /** Resolves once the caller accepts more; a disconnect destroys this stream instead. */
  async #waitForDrain(): Promise<void> {
    if (!this.response.destroyed) await once(this.response, 'drain');
  }
}

/** Compresses messages on the way, where it pays. */
/* eslint-disable n/no-sync -- A codec encodes and decodes at once, so that the messages of a link
   keep their order; pages bound what one call has to do. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Codec } from './codec.js';

/** First byte of each encoded message. */
const PLAIN = 0;
const DEFLATED = 1;

/** Shorter messages go as they are: heartbeats and calls would hardly shrink. */
const THRESHOLD_BYTES = 256;

export class DeflateCodec extends Codec {
  constructor(
    private readonly codec: Codec,
    /** The largest message that is unpacked, in bytes. */
    private readonly maxBytes: number,
  ) {
    super();
  }

  encode(message: unknown): Uint8Array {
    const bytes = this.codec.encode(message);
    const deflated = bytes.length < THRESHOLD_BYTES ? bytes : deflateRawSync(bytes);
    return deflated.length < bytes.length ? mark(DEFLATED, deflated) : mark(PLAIN, bytes);
  }

  /**
   * A few bytes can unpack to gigabytes. Without a bound, one such message would end the process
   * for want of memory; it throws instead, and the link that brought it is closed.
   */
  decode(bytes: Uint8Array): unknown {
    const body = bytes.subarray(1);
    switch (bytes[0]) {
      case PLAIN:
        return this.codec.decode(body);
      case DEFLATED:
        return this.codec.decode(inflateRawSync(body, { maxOutputLength: this.maxBytes }));
      default:
        throw new Error(`unknown kind of message: ${bytes[0]}`);
    }
  }
}

function mark(kind: number, bytes: Uint8Array): Uint8Array {
  const marked = new Uint8Array(1 + bytes.length);
  marked[0] = kind;
  marked.set(bytes, 1);
  return marked;
}

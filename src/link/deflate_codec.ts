/** Compresses messages if that makes them smaller. */
/* eslint-disable n/no-sync -- Encoding and decoding are synchronous so that the messages of a
   link keep their order; pages bound the work of one call. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Codec } from './codec.js';

/** Marker in the first byte of each encoded message. */
const PLAIN = 0;
const DEFLATED = 1;

/** Shorter messages are not compressed: heartbeats and calls would hardly shrink. */
const THRESHOLD_BYTES = 256;

export class DeflateCodec extends Codec {
  constructor(
    private readonly codec: Codec,
    /** Size limit of a decompressed message, in bytes. */
    private readonly maxBytes: number,
  ) {
    super();
  }

  encode(message: unknown): Uint8Array {
    const bytes = this.codec.encode(message);
    const deflated = bytes.length < THRESHOLD_BYTES ? bytes : deflateRawSync(bytes);
    return deflated.length < bytes.length ? addMarker(DEFLATED, deflated) : addMarker(PLAIN, bytes);
  }

  /**
   * Decodes a message. Throws if it decompresses to more than `maxBytes`, and the link is closed:
   * without a limit, a few bytes could expand to gigabytes and exhaust the memory of the process.
   */
  decode(bytes: Uint8Array): unknown {
    const body = bytes.subarray(1);
    switch (bytes[0]) {
      case PLAIN:
        return this.codec.decode(body);
      case DEFLATED:
        return this.codec.decode(inflateRawSync(body, { maxOutputLength: this.maxBytes }));
      default:
        throw new Error(`unknown message marker: ${bytes[0]}`);
    }
  }
}

function addMarker(kind: number, bytes: Uint8Array): Uint8Array {
  const marked = new Uint8Array(1 + bytes.length);
  marked[0] = kind;
  marked.set(bytes, 1);
  return marked;
}

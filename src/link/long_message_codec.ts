/** Compresses long messages on the way; short ones go as they are. */
/* eslint-disable n/no-sync -- As in `DeflateCodec`: the messages of a link keep their order. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Codec } from './codec.js';

/**
 * First byte of a compressed message. A message is a map or a list, and neither MessagePack nor
 * JSON begins one with this byte, so what is not compressed needs no mark.
 */
const DEFLATED = 1;
/** Shorter messages are sent as they are: heartbeats, calls and most gossip. */
const LONG_BYTES = 4_096;
/** Resources are so much alike that more effort takes time and spares nothing. */
const LEVEL = 1;

/** Configurations shrink to about a ninth: links between machines are narrow, and requests use them too. */
export class LongMessageCodec extends Codec {
  /** A message that goes to several ends is compressed once. */
  readonly #encoded = new WeakMap<object, Uint8Array>();

  constructor(
    private readonly codec: Codec,
    /** The largest message that is unpacked, in bytes; beyond it decoding throws. */
    private readonly maxBytes: number,
  ) {
    super();
  }

  encode(message: unknown): Uint8Array {
    const isKept = typeof message === 'object' && message !== null;
    const known = isKept ? this.#encoded.get(message) : undefined;
    if (known) return known;
    const bytes = this.codec.encode(message);
    if (bytes.length < LONG_BYTES) return bytes;
    const encoded = Buffer.concat([Buffer.of(DEFLATED), deflateRawSync(bytes, { level: LEVEL })]);
    if (isKept) this.#encoded.set(message, encoded);
    return encoded;
  }

  decode(bytes: Uint8Array): unknown {
    if (bytes[0] !== DEFLATED) return this.codec.decode(bytes);
    const { maxBytes: maxOutputLength } = this;
    return this.codec.decode(inflateRawSync(bytes.subarray(1), { maxOutputLength }));
  }
}

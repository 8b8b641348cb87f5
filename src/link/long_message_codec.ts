/** Compresses long messages; short ones are sent as they are. */
/* eslint-disable n/no-sync -- As in `DeflateCodec`: synchronous, to keep messages in order. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Codec } from './codec.js';

/**
 * First byte of a compressed message. A message is a map or a list, and neither MessagePack nor
 * JSON begins one with this byte, so uncompressed messages need no marker.
 */
const DEFLATED = 1;
/** Shorter messages are sent as they are: heartbeats, calls and most gossip. */
const THRESHOLD_BYTES = 4_096;
/** Resources are so similar that higher levels take longer without saving any bytes. */
const LEVEL = 1;

/**
 * Compresses configurations to about a ninth, because links between machines have little bandwidth,
 * which requests share.
 */
export class LongMessageCodec extends Codec {
  /** Compressed bytes by message, so that one sent over several links is compressed once. */
  readonly #encoded = new WeakMap<object, Uint8Array>();

  constructor(
    private readonly codec: Codec,
    /** Size limit of a decompressed message, in bytes; decoding throws beyond it. */
    private readonly maxBytes: number,
  ) {
    super();
  }

  encode(message: unknown): Uint8Array {
    const isCacheable = typeof message === 'object' && message !== null;
    const cached = isCacheable ? this.#encoded.get(message) : undefined;
    if (cached) return cached;
    const bytes = this.codec.encode(message);
    if (bytes.length < THRESHOLD_BYTES) return bytes;
    const encoded = Buffer.concat([Buffer.of(DEFLATED), deflateRawSync(bytes, { level: LEVEL })]);
    if (isCacheable) this.#encoded.set(message, encoded);
    return encoded;
  }

  decode(bytes: Uint8Array): unknown {
    if (bytes[0] !== DEFLATED) return this.codec.decode(bytes);
    const { maxBytes: maxOutputLength } = this;
    return this.codec.decode(inflateRawSync(bytes.subarray(1), { maxOutputLength }));
  }
}

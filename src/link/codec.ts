/** Encoding of link messages. */
import { decode, encode } from '@msgpack/msgpack';

/** Longer messages are not cached: their bytes would stay in memory until the next message. */
const MAX_CACHED_BYTES = 4_096;
const EMPTY = new Uint8Array();

export abstract class Codec {
  abstract encode(message: unknown): Uint8Array;

  /** Throws if the bytes are not a valid message. */
  abstract decode(bytes: Uint8Array): unknown;
}

/** MessagePack; compact, and the default. */
export class MsgpackCodec extends Codec {
  #lastMessage: unknown;

  #lastBytes = EMPTY;

  /**
   * Encodes a message. One that is sent over several links in turn is encoded once, so it must not
   * be changed meanwhile.
   */
  encode(message: unknown): Uint8Array {
    if (message !== this.#lastMessage) {
      const bytes = encode(message, { ignoreUndefined: true });
      if (bytes.length > MAX_CACHED_BYTES) return bytes;
      this.#lastBytes = bytes;
      this.#lastMessage = message;
    }
    return this.#lastBytes;
  }

  decode(bytes: Uint8Array): unknown {
    return decode(bytes);
  }
}

/** JSON; readable on the wire, for debugging. */
export class JsonCodec extends Codec {
  encode(message: unknown): Uint8Array {
    return Buffer.from(JSON.stringify(message));
  }

  decode(bytes: Uint8Array): unknown {
    return JSON.parse(Buffer.from(bytes).toString());
  }
}

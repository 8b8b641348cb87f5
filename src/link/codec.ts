/** How messages become bytes. */
import { decode, encode } from '@msgpack/msgpack';

/** Longer messages are not remembered: they would be held for nothing until the next one. */
const REMEMBERED_BYTES = 4_096;
const NOTHING = new Uint8Array();

export abstract class Codec {
  abstract encode(message: unknown): Uint8Array;

  /** Throws if the bytes are not a message. */
  abstract decode(bytes: Uint8Array): unknown;
}

/** Compact; the default. */
export class MsgpackCodec extends Codec {
  #message: unknown;

  #bytes = NOTHING;

  /** A message that goes to several ends in turn is encoded once; it must not change meanwhile. */
  encode(message: unknown): Uint8Array {
    if (message !== this.#message) {
      const bytes = encode(message, { ignoreUndefined: true });
      if (bytes.length > REMEMBERED_BYTES) return bytes;
      this.#bytes = bytes;
      this.#message = message;
    }
    return this.#bytes;
  }

  decode(bytes: Uint8Array): unknown {
    return decode(bytes);
  }
}

/** Readable on the wire, for looking into a fleet. */
export class JsonCodec extends Codec {
  encode(message: unknown): Uint8Array {
    return Buffer.from(JSON.stringify(message));
  }

  decode(bytes: Uint8Array): unknown {
    return JSON.parse(Buffer.from(bytes).toString());
  }
}

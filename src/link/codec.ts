/** How messages become bytes. */
import { decode, encode } from '@msgpack/msgpack';

export abstract class Codec {
  abstract encode(message: unknown): Uint8Array;

  /** Throws if the bytes are not a message. */
  abstract decode(bytes: Uint8Array): unknown;
}

/** Compact; the default. */
export class MsgpackCodec extends Codec {
  encode(message: unknown): Uint8Array {
    return encode(message, { ignoreUndefined: true });
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

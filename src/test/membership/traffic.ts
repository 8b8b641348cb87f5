/** Counts the messages and bytes sent over links in a test, by method. */
import { HEARTBEAT } from '../../distribution/methods.js';
import { MsgpackCodec } from '../../link/codec.js';

export interface Traffic {
  readonly messages: number;
  readonly bytes: number;
}

const NONE: Traffic = { messages: 0, bytes: 0 };

export class CountingCodec extends MsgpackCodec {
  readonly #sent = new Map<string, Traffic>();

  /** Bytes sent, without heartbeats. */
  get bytes(): number {
    return [...this.#sent.values()].reduce((sum, { bytes }) => sum + bytes, 0);
  }

  /** Messages and bytes sent with a method; responses count under the empty name. */
  traffic(method: string): Traffic {
    return this.#sent.get(method) ?? NONE;
  }

  override encode(message: unknown): Uint8Array {
    const encoded = super.encode(message);
    const { method = '' } = message as { method?: string };
    if (method === HEARTBEAT.name) return encoded;
    const { messages, bytes } = this.traffic(method);
    this.#sent.set(method, { messages: messages + 1, bytes: bytes + encoded.length });
    return encoded;
  }
}

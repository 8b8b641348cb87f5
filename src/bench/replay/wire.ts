/** The link of one emulated machine: bytes leave one after the other, in order. */
import { type Clock } from '../../runtime/clock.js';

/** Bytes that a kilobit a second carries in a millisecond. */
const BYTES_PER_MS_PER_KBPS = 1 / 8;

export class Wire {
  /** When all that was handed to it has left, in milliseconds since the epoch. */
  #freeAt = 0;

  constructor(
    private readonly clock: Clock,
    private readonly kbps: number | undefined,
  ) {}

  /** Bytes that it carries in a millisecond. */
  get bytesPerMs(): number | undefined {
    return this.kbps === undefined ? undefined : this.kbps * BYTES_PER_MS_PER_KBPS;
  }

  /** Resolves when the bytes have left, or at `deadline`; true if they have. They leave anyway. */
  async carry(bytes: number, deadline: number): Promise<boolean> {
    const { bytesPerMs } = this;
    if (bytesPerMs === undefined) return true;
    this.#freeAt = Math.max(this.clock.now(), this.#freeAt) + bytes / bytesPerMs;
    const leftAt = this.#freeAt;
    await this.clock.sleepUntil(Math.min(leftAt, deadline));
    return leftAt <= deadline;
  }
}

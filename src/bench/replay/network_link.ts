/** The outgoing network link of a simulated machine: bytes are sent in FIFO order. */
import { type Clock } from '../../runtime/clock.js';

/** Bytes per millisecond at one kilobit per second. */
const BYTES_PER_MS_PER_KBPS = 1 / 8;

export class NetworkLink {
  /** Instant at which all queued bytes are sent, in milliseconds since the epoch. */
  #sentUntil = 0;

  constructor(
    private readonly clock: Clock,
    private readonly kbps: number | undefined,
  ) {}

  /** Undefined when the bandwidth is unlimited. */
  get bytesPerMs(): number | undefined {
    return this.kbps === undefined ? undefined : this.kbps * BYTES_PER_MS_PER_KBPS;
  }

  /**
   * Resolves once the bytes are sent or at `deadline`, to whether they were sent by then. Bytes
   * that miss the deadline still occupy the link.
   */
  async send(bytes: number, deadline: number): Promise<boolean> {
    const { bytesPerMs } = this;
    if (bytesPerMs === undefined) return true;
    this.#sentUntil = Math.max(this.clock.now(), this.#sentUntil) + bytes / bytesPerMs;
    const leftAt = this.#sentUntil;
    await this.clock.sleepUntil(Math.min(leftAt, deadline));
    return leftAt <= deadline;
  }
}

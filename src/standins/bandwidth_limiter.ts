/** Simulates the limited outbound bandwidth of a machine: messages leave one after the other. */
const BITS_PER_BYTE = 8;

export class BandwidthLimiter {
  /** When all data sent so far has left, in milliseconds since the epoch. */
  #freeAt = 0;

  constructor(private readonly kbps: number) {}

  /** When the last of `bytes` bytes sent at `now` has left, in milliseconds since the epoch. */
  departure(bytes: number, now: number): number {
    this.#freeAt = Math.max(now, this.#freeAt) + (bytes * BITS_PER_BYTE) / this.kbps;
    return this.#freeAt;
  }
}

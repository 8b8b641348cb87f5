/** Stand-in for a machine's link to the network: what it sends leaves at a rate, one after the other. */
const BITS_PER_BYTE = 8;

export class Lane {
  /** Instant at which all that was sent has left. */
  #freeAt = 0;

  constructor(private readonly kbps: number) {}

  /** When the last of `bytes` that are sent `now` has left, in milliseconds since the epoch. */
  departure(bytes: number, now: number): number {
    this.#freeAt = Math.max(now, this.#freeAt) + (bytes * BITS_PER_BYTE) / this.kbps;
    return this.#freeAt;
  }
}

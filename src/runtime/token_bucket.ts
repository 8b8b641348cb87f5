/** Rate limiting by a token bucket. */
import { type Clock } from './clock.js';

const SECOND_MS = 1_000;

export class TokenBucket {
  #tokens: number;

  #refilledAt: number;

  /** Starts full with `burst` tokens, the maximum, and gains `perSecond` tokens per second. */
  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
    private readonly burst: number,
  ) {
    this.#tokens = burst;
    this.#refilledAt = clock.now();
  }

  /** Takes one token; returns false if there is none. */
  take(): boolean {
    return this.takeUpTo(1) === 1;
  }

  /** Takes up to `count` whole tokens; returns the number taken. */
  takeUpTo(count: number): number {
    this.#refill();
    const taken = Math.min(count, Math.floor(this.#tokens));
    this.#tokens -= taken;
    return taken;
  }

  /** Waits for a token and takes it; resolves to false if the signal aborts first. */
  async acquire(signal: AbortSignal): Promise<boolean> {
    while (!signal.aborted) {
      if (this.take()) return true;
      const missing = 1 - this.#tokens;
      const deadline = this.clock.now() + Math.ceil((missing * SECOND_MS) / this.perSecond);
      await this.clock.sleepUntil(deadline, signal);
    }
    return false;
  }

  #refill(): void {
    const now = this.clock.now();
    const gained = ((now - this.#refilledAt) * this.perSecond) / SECOND_MS;
    this.#tokens = Math.min(this.burst, this.#tokens + gained);
    this.#refilledAt = now;
  }
}

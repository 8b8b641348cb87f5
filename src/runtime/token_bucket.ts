/** Bounds how often something is done. */
import { type Clock } from './clock.js';

const SECOND_MS = 1_000;

export class TokenBucket {
  #tokens: number;

  #filledAt: number;

  /** Starts full. `burst` tokens at most are gathered, `perSecond` come back each second. */
  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
    private readonly burst: number,
  ) {
    this.#tokens = burst;
    this.#filledAt = clock.now();
  }

  /** Takes one token; false if there is none. */
  take(): boolean {
    return this.takeUpTo(1) === 1;
  }

  /** Takes as many whole tokens as there are, `count` at most; returns how many. */
  takeUpTo(count: number): number {
    this.#fill();
    const taken = Math.min(count, Math.floor(this.#tokens));
    this.#tokens -= taken;
    return taken;
  }

  /** Waits for a token and takes it; false if the signal aborts first. */
  async admit(signal: AbortSignal): Promise<boolean> {
    while (!signal.aborted) {
      if (this.take()) return true;
      const missing = 1 - this.#tokens;
      const deadline = this.clock.now() + Math.ceil((missing * SECOND_MS) / this.perSecond);
      await this.clock.sleepUntil(deadline, signal);
    }
    return false;
  }

  #fill(): void {
    const now = this.clock.now();
    const gained = ((now - this.#filledAt) * this.perSecond) / SECOND_MS;
    this.#tokens = Math.min(this.burst, this.#tokens + gained);
    this.#filledAt = now;
  }
}

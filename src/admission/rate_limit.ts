/** The rate limit that an upstream instance states in its answers. */
import { type Clock } from '../runtime/clock.js';

/** Requests per second as an instance writes them; other notations of numbers are not accepted. */
const RATE_PATTERN = /^\d{1,9}(?:\.\d{1,20})?$/;
/** A new rate is reported if it differs from the one reported last by more than this share. */
const REPORTED_CHANGE = 0.1;

/** Returns undefined if the text is not a valid rate. */
export function parseRate(text: string): number | undefined {
  return RATE_PATTERN.test(text) ? Number(text) : undefined;
}

export class RateLimit {
  /** Called when the instance states a limit, changes it notably or withdraws it (`Infinity`). */
  onChange: (perSecond: number) => void = () => {};

  #perSecond = Infinity;

  #reported = Infinity;

  /** Instant of the last answer that stated a limit. */
  #statedAt = 0;

  constructor(private readonly clock: Clock) {}

  /** Requests per second that the instance takes; `Infinity` without a limit. */
  get perSecond(): number {
    return this.#perSecond;
  }

  /**
   * Records what an answer states, `Infinity` for no limit; its request was sent at `sentAt`. Answers
   * may overtake each other, so only a request sent after the last statement can withdraw it.
   */
  record(perSecond: number, sentAt: number): void {
    if (perSecond === Infinity) {
      if (this.#perSecond === Infinity || sentAt <= this.#statedAt) return;
    } else this.#statedAt = this.clock.now();
    this.#set(perSecond);
  }

  #set(perSecond: number): void {
    this.#perSecond = perSecond;
    const before = this.#reported;
    if (before === perSecond) return;
    if (Number.isFinite(before) && Math.abs(perSecond - before) <= before * REPORTED_CHANGE) return;
    this.#reported = perSecond;
    this.onChange(perSecond);
  }
}

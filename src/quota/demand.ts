/** Estimate of the requests per second that callers ask for. */

const MS_PER_SECOND = 1_000;
/** Time constants of the two averages, in milliseconds. */
const FAST_MS = 1_000;
const SLOW_MS = 10_000;
/**
 * Rate from which on only the fast average counts. At low rates it is mostly chance: shares would
 * follow single requests from one process to the next, and be lost on the way.
 */
const FAST_FROM_PER_S = 20;

/** Messages state rates in hundredths of an event per second. */
export const RATE_UNITS = 100;

/** Two averages of a rate, in events per second; sums over processes are formed of each. */
export interface Rates {
  readonly fast: number;
  readonly slow: number;
}

/** The rate that counts: the higher it is, the more of the fast average. */
export function rateOf({ fast, slow }: Rates): number {
  return slow + Math.min(1, Math.max(fast, slow) / FAST_FROM_PER_S) * (fast - slow);
}

/** An exponentially decaying average of the rate of events. */
class Average {
  #sum = 0;

  /** Part of the weight of an endless past that the time since the start has. */
  #weight = 0;

  constructor(private readonly timeMs: number) {}

  get perS(): number {
    return this.#weight > 0 ? this.#sum / this.#weight : 0;
  }

  add(): void {
    this.#sum += MS_PER_SECOND / this.timeMs;
  }

  pass(elapsedMs: number): void {
    const factor = Math.exp(-elapsedMs / this.timeMs);
    this.#sum *= factor;
    this.#weight = 1 - (1 - this.#weight) * factor;
  }
}

/** Averages of the rate of events. */
export class Demand {
  readonly #fast = new Average(FAST_MS);

  readonly #slow = new Average(SLOW_MS);

  #at: number;

  constructor(now: number) {
    // A second without events before the start keeps the first event from counting as a high rate.
    this.#at = now - MS_PER_SECOND;
  }

  add(now: number): void {
    this.#pass(now);
    this.#fast.add();
    this.#slow.add();
  }

  rates(now: number): Rates {
    this.#pass(now);
    return { fast: this.#fast.perS, slow: this.#slow.perS };
  }

  perS(now: number): number {
    return rateOf(this.rates(now));
  }

  #pass(now: number): void {
    const elapsedMs = now - this.#at;
    if (elapsedMs <= 0) return;
    this.#fast.pass(elapsedMs);
    this.#slow.pass(elapsedMs);
    this.#at = now;
  }
}

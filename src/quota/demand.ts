/** Estimate of the requests per second that callers ask for. */

const MS_PER_SECOND = 1_000;
/** Slots of the fast average, in milliseconds and number; the last one is not complete. */
const SLOT_MS = 200;
const SLOTS = 6;
/** Time constant of the slow average, in milliseconds. */
const SLOW_MS = 20_000;
/**
 * Rate from which on only the fast average counts. At low rates it is mostly chance: shares would
 * follow single requests from one process to the next, and be lost on the way.
 */
const FAST_FROM_PER_S = 60;

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

/** Number of events in the last second. Unlike a decaying average, it is soon 0 when they end. */
class FastAverage {
  readonly #counts = new Float64Array(SLOTS);

  #slot = 0;

  add(now: number): void {
    this.#moveTo(now);
    this.#counts[this.#slot % SLOTS]! += 1;
  }

  perS(now: number): number {
    this.#moveTo(now);
    const coveredMs = (SLOTS - 1) * SLOT_MS + (now - this.#slot * SLOT_MS);
    return (this.#counts.reduce((sum, count) => sum + count, 0) * MS_PER_SECOND) / coveredMs;
  }

  #moveTo(now: number): void {
    const slot = Math.floor(now / SLOT_MS);
    const passed = Math.min(SLOTS, slot - this.#slot);
    for (let step = 1; step <= passed; step++) this.#counts[(slot - passed + step) % SLOTS] = 0;
    this.#slot = Math.max(this.#slot, slot);
  }
}

/** An exponentially decaying average of the rate of events. */
class SlowAverage {
  #sum = 0;

  /** Part of the weight of an endless past that the time since the start has. */
  #weight: number;

  #at: number;

  constructor(now: number) {
    // Some time without events before the start keeps the first event from counting as a high rate.
    this.#weight = 1 - Math.exp(-MS_PER_SECOND / SLOW_MS);
    this.#at = now;
  }

  add(now: number): void {
    this.#moveTo(now);
    this.#sum += MS_PER_SECOND / SLOW_MS;
  }

  perS(now: number): number {
    this.#moveTo(now);
    return this.#sum / this.#weight;
  }

  #moveTo(now: number): void {
    if (now <= this.#at) return;
    const factor = Math.exp((this.#at - now) / SLOW_MS);
    this.#sum *= factor;
    this.#weight = 1 - (1 - this.#weight) * factor;
    this.#at = now;
  }
}

/** Averages of the rate of events. */
export class Demand {
  readonly #fast = new FastAverage();

  readonly #slow: SlowAverage;

  constructor(now: number) {
    this.#slow = new SlowAverage(now);
  }

  add(now: number): void {
    this.#fast.add(now);
    this.#slow.add(now);
  }

  rates(now: number): Rates {
    return { fast: this.#fast.perS(now), slow: this.#slow.perS(now) };
  }

  perS(now: number): number {
    return rateOf(this.rates(now));
  }
}

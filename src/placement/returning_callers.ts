/** Recognizes callers that were refused by this process and retry. */

/**
 * How far the computed `givesUpAt` of one caller may differ between its attempts, in milliseconds:
 * a new connection takes a round trip to the caller, and a loaded process reads requests late.
 */
const TOLERANCE_MS = 150;
/** Maximum number of callers, some seconds of refusals under heavy overload; the oldest are evicted. */
const MAX_CALLERS = 4_096;
/** Maximum length of all keys together, in characters: callers choose the length of their paths. */
const MAX_CHARACTERS = 1_000_000;

/** What all attempts of a caller have in common. */
export interface Caller {
  /** Identifies what it requests; the same in all its attempts. */
  readonly asks: string;
  /** Until when it waits, in milliseconds since the epoch; the same in all its attempts. */
  readonly givesUpAt: number;
}

interface RememberedCaller extends Caller {
  /** Instant of its first attempt, in milliseconds since the epoch. */
  readonly firstAt: number;
}

/**
 * The target time of an answer counts from the first attempt of its caller. A caller that was
 * refused and retries is late already, but says only how much longer it waits, which differs
 * between callers. Taken for a new caller, it would get a slot before those that can still be
 * answered in time; under heavy load more than a third of the slots were lost that way. Attempts
 * that request the same until the same instant are taken to come from one caller.
 */
export class ReturningCallers {
  readonly #callers = new Map<string, RememberedCaller>();

  /** Total length of all keys. */
  #characters = 0;

  /** Instant of the first attempt, in milliseconds since the epoch; `now` for an unknown caller. */
  firstAt({ asks, givesUpAt }: Caller, now: number): number {
    const known = this.#callers.get(asks);
    if (!known || Math.abs(known.givesUpAt - givesUpAt) > TOLERANCE_MS) return now;
    return Math.min(known.firstAt, now);
  }

  /** Records that a caller, whose first attempt was at `firstAt`, was refused and may retry. */
  recordRefusal(caller: Caller, firstAt: number): void {
    const { asks, givesUpAt } = caller;
    // Deleted first, as a map keeps the position of a known key: the first key has to be the oldest.
    this.#forget(asks);
    this.#callers.set(asks, { asks, givesUpAt, firstAt });
    this.#characters += asks.length;
    while (this.#callers.size > MAX_CALLERS || this.#characters > MAX_CHARACTERS) {
      const [oldest] = this.#callers.keys();
      this.#forget(oldest!);
    }
  }

  #forget(asks: string): void {
    if (this.#callers.delete(asks)) this.#characters -= asks.length;
  }
}

/** Knows callers again who were turned away here and come back. */

/**
 * How far the instant until which a caller waits may seem to move between its attempts, in
 * milliseconds: a new connection takes two ways to the caller, and a loaded process reads late.
 */
const TOLERANCE_MS = 150;
/** Callers that are remembered, some seconds of refusals in a storm; then the oldest go. */
const MAX_REMEMBERED = 4_096;
/** Characters of what they ask for; callers choose how long their paths are. */
const MAX_CHARACTERS = 1_000_000;

/** What a caller's attempts have in common. */
export interface Caller {
  /** What it asks for: the same in all its attempts. */
  readonly asks: string;
  /** Until when it waits, in milliseconds since the epoch; it stays with the first attempt's. */
  readonly givesUpAt: number;
}

interface Remembered extends Caller {
  /** Instant of its first attempt, in milliseconds since the epoch. */
  readonly firstAt: number;
}

/**
 * The time in which an answer is of full use to a caller counts from its first attempt. One who was
 * turned away and comes back is late already, but says only how much longer it waits, and callers
 * do not all wait equally long. Taken for one who has just come, it would get a slot before those
 * who can still be answered in time: on a loaded day more than a third of the slots went that way.
 * Who asks for the same thing until the same instant is the same caller.
 */
export class Returns {
  readonly #remembered = new Map<string, Remembered>();

  /** Of all that is remembered. */
  #characters = 0;

  /** When the caller asked first, in milliseconds since the epoch; `now` if it is not known. */
  firstAt({ asks, givesUpAt }: Caller, now: number): number {
    const known = this.#remembered.get(asks);
    if (!known || Math.abs(known.givesUpAt - givesUpAt) > TOLERANCE_MS) return now;
    return Math.min(known.firstAt, now);
  }

  /** Notes that a caller who asked first at `firstAt` was turned away, and may come back. */
  turnedAway(caller: Caller, firstAt: number): void {
    const { asks, givesUpAt } = caller;
    // The latest stand last, so that the first are those to forget.
    this.#forget(asks);
    this.#remembered.set(asks, { asks, givesUpAt, firstAt });
    this.#characters += asks.length;
    while (this.#remembered.size > MAX_REMEMBERED || this.#characters > MAX_CHARACTERS) {
      const [oldest] = this.#remembered.keys();
      this.#forget(oldest!);
    }
  }

  #forget(asks: string): void {
    if (this.#remembered.delete(asks)) this.#characters -= asks.length;
  }
}

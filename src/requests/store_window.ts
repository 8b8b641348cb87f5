/** Bounds the claims that one process asks of the platform at a time. */
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';

/** Small, because all processes start together after an outage. */
const FIRST_WINDOW = 2;
const LARGEST_WINDOW = 64;
/** A claim that takes longer tells that the platform's writes queue up, in milliseconds. */
const TARGET_MS = 100;
const SHRINK = 0.7;
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 5_000;

/**
 * The platform's writes are shared by the whole fleet. Without a bound, processes that ask for
 * more than it can write would wait for each other until their deadlines, and nearly every write
 * would be for a caller who has given up. The window grows by one a round while answers are quick
 * and shrinks when they are slow; below one it becomes a pause.
 */
export class StoreWindow {
  #size = FIRST_WINDOW;

  #inFlight = 0;

  #pauseMs = FIRST_PAUSE_MS;

  #pausedUntil = 0;

  #shrunkAt = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Takes a place, to be given back by `leave`; false if there is none. */
  enter(): boolean {
    if (this.#inFlight >= this.#size || this.clock.now() < this.#pausedUntil) return false;
    this.#inFlight += 1;
    return true;
  }

  /** Gives the place back; `isAnswered` is false if the platform did not answer in time. */
  leave(askedAt: number, isAnswered: boolean): void {
    this.#inFlight -= 1;
    const now = this.clock.now();
    if (isAnswered && now - askedAt <= TARGET_MS) {
      this.#size = Math.min(LARGEST_WINDOW, this.#size + 1 / this.#size);
      this.#pauseMs = FIRST_PAUSE_MS;
      return;
    }
    // Those asked before the window shrank were slow for the same reason: it shrinks once for all.
    if (askedAt < this.#shrunkAt) return;
    this.#shrunkAt = now;
    this.#size = isAnswered ? Math.max(1, this.#size * SHRINK) : 1;
    if (this.#size > 1 && isAnswered) return;
    this.#pausedUntil = now + this.random.jitter(this.#pauseMs);
    this.#pauseMs = Math.min(LONGEST_PAUSE_MS, this.#pauseMs * 2);
  }
}

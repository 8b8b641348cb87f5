/** Detects that this process did not run for a while, although its clock may not show it. */
import { type Clock } from '../runtime/clock.js';

/** A longer delay counts as a pause, in milliseconds. */
const MAX_DELAY_MS = 500;

/**
 * The clock of the process stops while its machine is suspended. Other processes may have taken over
 * meanwhile what this one holds. A pause shows as a timer that is late or as a wall clock that has
 * moved on.
 */
export class PauseDetector {
  #expectedAt = Number.POSITIVE_INFINITY;

  /** How far the wall clock is ahead of the clock. */
  #aheadMs: number;

  constructor(
    clock: Clock,
    private readonly wallClock: () => number,
  ) {
    this.#aheadMs = wallClock() - clock.now();
  }

  /** Notes when the next timer is due. */
  expect(at: number): void {
    this.#expectedAt = at;
  }

  /** Whether there was a pause since the last call, which then counts as seen. */
  wasPaused(now: number): boolean {
    const aheadMs = this.wallClock() - now;
    const isLate = now - this.#expectedAt > MAX_DELAY_MS;
    const isAhead = aheadMs - this.#aheadMs > MAX_DELAY_MS;
    if (isLate) this.#expectedAt = Number.POSITIVE_INFINITY;
    this.#aheadMs = aheadMs;
    return isLate || isAhead;
  }
}

/** Detects that this process did not run for a while that its clock does not show. */
import { type Clock } from '../runtime/clock.js';

/** A longer time is a pause, in milliseconds; below it the clocks may drift apart. */
const MIN_PAUSE_MS = 500;

/**
 * The clock of the process stops while its machine is suspended. Other processes may have taken over
 * meanwhile what this one holds. A pause shows as a wall clock that has moved on. A process that is
 * merely late needs no check: its clock has gone on, so that what it holds has expired.
 */
export class PauseDetector {
  /** How far the wall clock is ahead of the clock. */
  #aheadMs: number;

  constructor(
    clock: Clock,
    private readonly wallClock: () => number,
  ) {
    this.#aheadMs = wallClock() - clock.now();
  }

  /** Whether there was a pause since the last call, which then counts as seen. */
  wasPaused(now: number): boolean {
    const aheadMs = this.wallClock() - now;
    const isAhead = aheadMs - this.#aheadMs > MIN_PAUSE_MS;
    this.#aheadMs = aheadMs;
    return isAhead;
  }
}

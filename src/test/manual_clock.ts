/** A clock that stands still between sleeps. */
import { Clock } from '../runtime/clock.js';

export class ManualClock extends Clock {
  instant = 1_000_000;

  now(): number {
    return this.instant;
  }

  async sleepUntil(deadline: number): Promise<void> {
    this.instant = deadline;
  }
}

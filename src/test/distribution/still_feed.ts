/** Stand-in for a source that never tells of a version. */
import { Feed } from '../../distribution/feed.js';
import { type Clock } from '../../runtime/clock.js';

/** What a process holds is put there by the test. */
export class StillFeed extends Feed {
  constructor(private readonly clock: Clock) {
    super();
  }

  async catchUp(): Promise<boolean> {
    return true;
  }

  async follow(deadline: number, signal: AbortSignal): Promise<boolean> {
    await this.clock.sleepUntil(deadline, signal);
    return true;
  }
}

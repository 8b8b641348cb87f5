/** Stand-in for a source that never delivers a version. */
import { Feed } from '../../distribution/feed.js';
import { type Clock } from '../../runtime/clock.js';

/** The test applies versions to the replica itself. */
export class IdleFeed extends Feed {
  readonly repeatsRefused = false;

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

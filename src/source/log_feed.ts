/** Feeds the replica from the log of versions. */
import { Feed } from '../distribution/feed.js';
import { type Replica } from '../distribution/replica.js';
import { type Platform } from '../platform/platform.js';
import { Log, PAGE } from './log.js';
import { Snapshots } from './snapshots.js';

export class LogFeed extends Feed {
  /** Whether it was looked for a snapshot to start from. */
  #hasLeapt = false;

  constructor(
    private readonly log: Log,
    private readonly snapshots: Snapshots,
    private readonly replica: Replica,
  ) {
    super();
  }

  async catchUp(deadline: number): Promise<boolean> {
    if (!this.#hasLeapt) await this.#leap(deadline);
    for (;;) {
      const records = await this.log.read(this.replica.current.number, deadline);
      if (records.length === 0) return true;
      const isWhole = this.replica.apply(records.map((record) => record.version));
      if (!isWhole) return false;
    }
  }

  async follow(deadline: number, signal: AbortSignal): Promise<boolean> {
    const records = await this.log.watch(this.replica.current.number, deadline, signal);
    return this.replica.apply(records.map((record) => record.version));
  }

  /**
   * Starts from the latest snapshot where that saves more than one page of the log. One that the
   * replica refuses costs nothing but the replay that it should have saved.
   */
  async #leap(deadline: number): Promise<void> {
    const snapshot = await this.snapshots.load(this.replica.current.number + PAGE, deadline);
    this.#hasLeapt = true;
    if (snapshot) this.replica.install(snapshot, 'source');
  }
}

/** A feed from the log that `platform` holds. */
export function logFeed(platform: Platform, replica: Replica): LogFeed {
  const log = new Log(platform);
  return new LogFeed(log, new Snapshots(platform, log), replica);
}

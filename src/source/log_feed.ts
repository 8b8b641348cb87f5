/** Updates the replica from the log of versions. */
import { Feed } from '../distribution/feed.js';
import { type Replica } from '../distribution/replica.js';
import { type Platform } from '../platform/platform.js';
import { VersionLog, PAGE_SIZE } from './log.js';
import { Snapshots } from './snapshots.js';

export class LogFeed extends Feed {
  /** The log is read from the version in force on. */
  readonly repeatsRefused = true;

  /** Whether the latest snapshot was looked up already. */
  #hasTriedSnapshot = false;

  constructor(
    private readonly log: VersionLog,
    private readonly snapshots: Snapshots,
    private readonly replica: Replica,
  ) {
    super();
  }

  async catchUp(deadline: number): Promise<boolean> {
    if (!this.#hasTriedSnapshot) await this.#installSnapshot(deadline);
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
   * Installs the latest snapshot if that saves more than one page of the log. If the replica
   * refuses it, the log is replayed instead.
   */
  async #installSnapshot(deadline: number): Promise<void> {
    const snapshot = await this.snapshots.load(this.replica.current.number + PAGE_SIZE, deadline);
    this.#hasTriedSnapshot = true;
    if (snapshot) this.replica.install(snapshot, 'source');
  }
}

export function logFeed(platform: Platform, replica: Replica): LogFeed {
  const log = new VersionLog(platform);
  return new LogFeed(log, new Snapshots(platform, log), replica);
}

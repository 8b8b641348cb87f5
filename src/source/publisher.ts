/** Publishes a snapshot when enough versions were accepted since the previous one. */
import PQueue from 'p-queue';
import { type Clock } from '../runtime/clock.js';
import { type Head } from './head.js';
import { type NoteIndex } from './note_index.js';
import { type Snapshots } from './snapshots.js';

/** Versions between two snapshots: a process that starts replays about this many records. */
export const VERSIONS_PER_SNAPSHOT = 64;
/** A failed attempt is repeated after the versions between two snapshots divided by this. */
const RETRY_DIVISOR = 4;
/** Timeout of a whole publication, in milliseconds. */
const TIMEOUT_MS = 5_000;
/** Most concurrent calls to the platform. */
const CONCURRENCY = 4;

export class Publisher {
  /** Snapshots published by this process, and attempts that failed. */
  readonly counts = { published: 0, failed: 0 };

  #retryAt = 0;

  constructor(
    private readonly head: Head,
    private readonly index: NoteIndex,
    private readonly snapshots: Snapshots,
    private readonly clock: Clock,
    private readonly versionsPerSnapshot: number,
  ) {}

  get isDue(): boolean {
    const { number } = this.head.configuration;
    return number - this.head.floor >= this.versionsPerSnapshot && number >= this.#retryAt;
  }

  /**
   * Publishes a snapshot of the head and drops the versions that it covers from memory. Neither
   * throws nor waits for an unavailable platform, because nothing depends on its success: a writer
   * that fails or stops half-way leaves the previous snapshot in place, and a later acceptance in
   * any process tries again.
   */
  async publish(): Promise<void> {
    if (!this.isDue) return;
    const deadline = this.clock.now() + TIMEOUT_MS;
    const snapshot = this.head.snapshot();
    try {
      await this.#indexEntries(deadline);
      const latest = await this.snapshots.publish(snapshot, deadline);
      this.head.trim(latest);
      this.counts.published += 1;
    } catch {
      this.#retryAt = snapshot.number + Math.ceil(this.versionsPerSnapshot / RETRY_DIVISOR);
      this.counts.failed += 1;
    }
  }

  /**
   * Indexes every version that the snapshot will cover, before the snapshot is published. In the
   * other order a process that starts from the snapshot could miss a note that is not indexed yet,
   * and accept it a second time.
   */
  async #indexEntries(deadline: number): Promise<void> {
    const queue = new PQueue({ concurrency: CONCURRENCY });
    await queue.addAll(
      this.head.entries.map((entry) => () => this.index.put(entry.note, entry, deadline)),
    );
  }
}

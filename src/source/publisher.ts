/** Publishes a snapshot once the log has grown enough since the one before. */
import PQueue from 'p-queue';
import { type Clock } from '../runtime/clock.js';
import { type Head } from './head.js';
import { type NoteIndex } from './note_index.js';
import { type Snapshots } from './snapshots.js';

/** Versions between two snapshots: so many records, about, are replayed by whoever starts. */
export const SNAPSHOT_EVERY = 64;
/** An attempt that failed is repeated after this part of the versions between two snapshots. */
const RETRY_PART = 4;
const TIMEOUT_MS = 5_000;
/** Calls in flight at a time. */
const CONCURRENCY = 4;

export class Publisher {
  /** Snapshots published from here, and attempts that the platform did not let finish. */
  readonly counts = { published: 0, failed: 0 };

  #retryAt = 0;

  constructor(
    private readonly head: Head,
    private readonly index: NoteIndex,
    private readonly snapshots: Snapshots,
    private readonly clock: Clock,
    private readonly every: number,
  ) {}

  get isDue(): boolean {
    const { number } = this.head.configuration;
    return number - this.head.floor >= this.every && number >= this.#retryAt;
  }

  /**
   * Publishes the head and lets it forget what the snapshot covers. Nothing hangs on its success:
   * a writer that fails, or ends half-way, leaves the old snapshot in place, and the next
   * acceptance anywhere tries again. So it neither waits for the platform nor throws.
   */
  async publish(): Promise<void> {
    if (!this.isDue) return;
    const deadline = this.clock.now() + TIMEOUT_MS;
    const snapshot = this.head.snapshot();
    try {
      await this.#index(deadline);
      const latest = await this.snapshots.publish(snapshot, deadline);
      this.head.trim(latest);
      this.counts.published += 1;
    } catch {
      this.#retryAt = snapshot.number + Math.ceil(this.every / RETRY_PART);
      this.counts.failed += 1;
    }
  }

  /**
   * Indexes every version that the snapshot will cover, before it is published. In the other order
   * a process that starts from the snapshot could miss a note that the index does not hold yet,
   * and accept it a second time.
   */
  async #index(deadline: number): Promise<void> {
    const queue = new PQueue({ concurrency: CONCURRENCY });
    await queue.addAll(
      this.head.entries.map((entry) => () => this.index.put(entry.note, entry, deadline)),
    );
  }
}

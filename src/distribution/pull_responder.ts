/** Answers pulls from other processes, a limited number at a time. */
import PQueue from 'p-queue';
import { differingBuckets } from '../configuration/summary.js';
import { type Difference, type Pull, type Pulled, type Version } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { MAX_CHANGE_BYTES, MAX_PAGE_BYTES, SnapshotPager, versionBytes } from './pages.js';
import { type Replica } from './replica.js';

const CONCURRENCY = 4;
/**
 * Minimum time that each answer occupies its slot, in milliseconds; allows at most 400 answers per
 * second.
 */
const MIN_SLOT_MS = 10;
/**
 * Maximum number of waiting pulls; they wait at most 160 ms, less than the timeout of their
 * senders.
 */
const MAX_WAITING = 64;
/** How long a rejected peer is told to wait, in milliseconds; the peer adds jitter. */
const BUSY_RETRY_MS = 250;

/**
 * Bounds the rate of answered pulls. When many processes reconnect at once, hundreds of them pull
 * from few. If all were answered at once, the links would be filled with pages and heartbeats would
 * queue behind them: this process would look silent and lose its links, which causes the next wave
 * of reconnects. Pulls beyond the limit are told when to retry, and their senders ask another peer
 * in the meantime.
 */
export class PullResponder {
  readonly #queue = new PQueue({ concurrency: CONCURRENCY });

  readonly #pager: SnapshotPager;

  constructor(
    private readonly replica: Replica,
    private readonly clock: Clock,
  ) {
    this.#pager = new SnapshotPager(replica);
  }

  answer(pull: Pull): Promise<Pulled> {
    return new Promise((resolve, reject) => {
      if (this.#queue.size >= MAX_WAITING) {
        resolve({ versions: [], busyMs: BUSY_RETRY_MS });
        return;
      }
      this.#queue.add(() => this.#serve(pull, resolve)).catch(reject);
    });
  }

  async #serve(pull: Pull, resolve: (answer: Pulled) => void): Promise<void> {
    resolve(this.#answer(pull));
    await this.clock.sleepUntil(this.clock.now() + MIN_SLOT_MS);
  }

  #answer({ after, page, summary }: Pull): Pulled {
    const versions = page ? undefined : this.replica.since(after);
    const fitting = versions && fitInAnswer(versions);
    if (fitting) return { versions: [...fitting] };
    const difference = summary && this.#differenceTo(summary);
    if (difference) return { versions: [], difference };
    return { versions: [], page: this.#pager.page(page?.number, page?.offset ?? 0, after) };
  }

  /**
   * Returns where the configurations differ, or undefined if sending pages is better. A source that
   * only holds the newest version lets its readers skip versions, so a process may hold a version
   * that none of its peers ever held. Hence content is compared instead of versions.
   */
  #differenceTo(summary: readonly number[]): Difference | undefined {
    const { current } = this.replica;
    const buckets = differingBuckets(summary, current.summary);
    if (current.bytesIn(buckets) > MAX_CHANGE_BYTES) return undefined;
    const resources = current.resourcesIn(buckets);
    const { number, digest } = current;
    const { parent } = this.replica;
    return { number, digest, parent, buckets, resources };
  }
}

/** Returns as many versions as fit into one answer; undefined if not even the first one fits. */
function fitInAnswer(versions: readonly Version[]): readonly Version[] | undefined {
  const [first] = versions;
  if (!first) return versions;
  if (versionBytes(first) > MAX_CHANGE_BYTES) return undefined;
  let bytes = 0;
  const end = versions.findIndex((version) => {
    bytes += versionBytes(version);
    return bytes > MAX_PAGE_BYTES;
  });
  return end < 0 ? versions : versions.slice(0, Math.max(1, end));
}

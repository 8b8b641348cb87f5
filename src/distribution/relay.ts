/** Answers the pulls of others, so many at a time. */
import PQueue from 'p-queue';
import { differing } from '../configuration/summary.js';
import { type Difference, type Pull, type Pulled, type Version } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { CHANGE_BYTES, PAGE_BYTES, Pages, sizeOf } from './pages.js';
import { type Replica } from './replica.js';

const CONCURRENCY = 4;
/** How long each answer keeps its place, in milliseconds: 400 answers a second at most. */
const HOLD_MS = 10;
/** Pulls that may wait; they wait 160 ms at most, less than their senders do. */
const MAX_WAITING = 64;
/** When a pull that was turned away may come again, in milliseconds; jitter is added there. */
const BUSY_MS = 250;

/**
 * When a herd reconnects, hundreds of processes pull from few. Were all answered at once, the
 * relay's links would fill with pages and its heartbeats would stand behind them: it would look
 * silent and lose its links, which starts the next herd. Those beyond the bound are told when to
 * come back, and go to another peer meanwhile.
 */
export class Relay {
  readonly #queue = new PQueue({ concurrency: CONCURRENCY });

  readonly #pages: Pages;

  constructor(
    private readonly replica: Replica,
    private readonly clock: Clock,
  ) {
    this.#pages = new Pages(replica);
  }

  answer(pull: Pull): Promise<Pulled> {
    return new Promise((resolve) => {
      if (this.#queue.size >= MAX_WAITING) {
        resolve({ versions: [], busyMs: BUSY_MS });
        return;
      }
      void this.#queue.add(() => this.#serve(pull, resolve));
    });
  }

  async #serve(pull: Pull, resolve: (answer: Pulled) => void): Promise<void> {
    resolve(this.#answer(pull));
    await this.clock.sleepUntil(this.clock.now() + HOLD_MS);
  }

  #answer({ after, page, summary }: Pull): Pulled {
    const versions = page ? undefined : this.replica.since(after);
    const fitting = versions && fit(versions);
    if (fitting) return { versions: [...fitting] };
    const difference = summary && this.#difference(summary);
    if (difference) return { versions: [], difference };
    return { versions: [], page: this.#pages.page(page?.number, page?.offset ?? 0, after) };
  }

  /**
   * A source that holds only the newest version lets its readers skip others, so a process may hold
   * one that none of its peers held. Content is compared instead; undefined if pages are better.
   */
  #difference(summary: readonly number[]): Difference | undefined {
    const { current } = this.replica;
    const buckets = differing(summary, current.summary);
    if (current.bytesWithin(buckets) > CHANGE_BYTES) return undefined;
    const resources = current.within(buckets);
    const { number, digest } = current;
    const { parent } = this.replica;
    return { number, digest, parent, buckets, resources };
  }
}

/** As many versions as go into one answer; undefined if not even the first does. */
function fit(versions: readonly Version[]): readonly Version[] | undefined {
  const [first] = versions;
  if (!first) return versions;
  if (sizeOf(first) > CHANGE_BYTES) return undefined;
  let bytes = 0;
  const end = versions.findIndex((version) => {
    bytes += sizeOf(version);
    return bytes > PAGE_BYTES;
  });
  return end < 0 ? versions : versions.slice(0, Math.max(1, end));
}

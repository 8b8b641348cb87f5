/** The jobs at one upstream instance that share one named limit. */
import PQueue from 'p-queue';
import { type Limit as LimitResource } from '../contracts.js';

/** Weight of the newest value in a moving average. */
const NEWEST_WEIGHT = 0.1;
/** Number of jobs that may wait for a slot without a named limit. */
const DEFAULT_MAX_WAITING = 100;

export class NamedLimit {
  waiting = 0;

  /** Number of jobs that may wait. */
  maxWaiting = DEFAULT_MAX_WAITING;

  #heldMs = 0;

  /** Bounds the jobs in flight; absent until the limit is lower than the slots of the instance. */
  #queue: PQueue | undefined;

  /** Average time that a job holds a slot, in milliseconds. */
  get heldMs(): number {
    return this.#heldMs;
  }

  get hasFreeSlot(): boolean {
    return (
      !this.#queue || (this.#queue.pending < this.#queue.concurrency && this.#queue.size === 0)
    );
  }

  /** Applies the limit as the current configuration defines it. */
  configure({ slots, queue }: LimitResource, ceiling: number): void {
    this.maxWaiting = queue;
    if (this.#queue) {
      if (this.#queue.concurrency !== slots) this.#queue.concurrency = slots;
    } else if (slots < ceiling) this.#queue = new PQueue({ concurrency: slots });
  }

  /** Estimated wait of the next job for this limit, in milliseconds. */
  get expectedWaitMs(): number {
    if (!this.#queue || this.hasFreeSlot) return 0;
    return ((this.#queue.size + 1) * this.#heldMs) / this.#queue.concurrency;
  }

  /** Runs `work` when the limit has a free slot. */
  async run(work: () => Promise<void>, priority: number, abortSignal?: AbortSignal): Promise<void> {
    if (!this.#queue) await work();
    else if (abortSignal) await this.#queue.add(work, { priority, signal: abortSignal });
    else await this.#queue.add(work, { priority });
  }

  /** Records how long a job held its slot. */
  recordDuration(tookMs: number): void {
    this.#heldMs = movingAverage(this.#heldMs, tookMs);
  }
}

/** Exponential moving average; an average of 0 stands for no value yet. */
export function movingAverage(before: number, latest: number): number {
  return before === 0 ? latest : before + (latest - before) * NEWEST_WEIGHT;
}

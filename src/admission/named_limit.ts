/** The jobs at one upstream instance that share one named limit. */
import PQueue from 'p-queue';
import { type Limit as LimitResource } from '../contracts.js';
import { type FairShare } from './fair_share.js';
import { ArrivalOrder, type WaitingJob } from './waiting_order.js';
import { queueClassOf, WaitingQueue, type WaitingOptions } from './waiting_queue.js';

/** Weight of the newest value in a moving average. */
const NEWEST_WEIGHT = 0.1;
/** Number of jobs that may wait for a slot without a named limit. */
const DEFAULT_MAX_WAITING = 100;

export class NamedLimit {
  waiting = 0;

  /** Number of jobs that may wait. */
  maxWaiting = DEFAULT_MAX_WAITING;

  #heldMs = 0;

  readonly #waitingQueue: WaitingQueue;

  /** Bounds the jobs in flight; absent until the limit is lower than the slots of the instance. */
  #queue: PQueue<WaitingQueue, WaitingOptions> | undefined;

  constructor(shares: FairShare) {
    this.#waitingQueue = new WaitingQueue(shares, new ArrivalOrder());
  }

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
    } else if (slots < ceiling) {
      const queueClass = queueClassOf(this.#waitingQueue);
      this.#queue = new PQueue({ concurrency: slots, queueClass });
    }
  }

  /** Estimated wait of a job for this limit, in milliseconds. */
  expectedWaitMs(waiting: WaitingJob): number {
    if (!this.#queue || this.hasFreeSlot) return 0;
    return ((this.#waitingQueue.jobsAhead(waiting) + 1) * this.#heldMs) / this.#queue.concurrency;
  }

  /** The job to refuse in place of `waiting`, if one waits for this limit. */
  displaceable(waiting: WaitingJob): WaitingJob | undefined {
    return this.#waitingQueue.displaceable(waiting, () => true);
  }

  /** Runs `work` when the limit has a free slot. */
  async run(work: () => Promise<void>, options: WaitingOptions & Abortable = {}): Promise<void> {
    if (!this.#queue) await work();
    else await this.#queue.add(work, options);
  }

  /** Records how long a job held its slot. */
  recordDuration(tookMs: number): void {
    this.#heldMs = movingAverage(this.#heldMs, tookMs);
  }
}

/** The named limits of the jobs at one upstream instance; jobs without one have a limit, too. */
export class NamedLimits {
  readonly #limits = new Map<string, NamedLimit>();

  constructor(private readonly shares: FairShare) {}

  /** `ceiling` is the number of slots that the instance has announced. */
  of(resource: LimitResource | undefined, ceiling: number): NamedLimit {
    const name = resource?.name ?? '';
    let limit = this.#limits.get(name);
    if (!limit) {
      limit = new NamedLimit(this.shares);
      this.#limits.set(name, limit);
    }
    if (resource) limit.configure(resource, ceiling);
    return limit;
  }
}

interface Abortable {
  readonly signal?: AbortSignal;
}

/** Exponential moving average; an average of 0 stands for no value yet. */
export function movingAverage(before: number, latest: number): number {
  return before === 0 ? latest : before + (latest - before) * NEWEST_WEIGHT;
}

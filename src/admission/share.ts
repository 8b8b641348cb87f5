/** What runs at one upstream instance under one named limit. */
import PQueue from 'p-queue';
import { type Limit as LimitResource } from '../contracts.js';

/** Weight of the newest piece of work in the average time that one takes. */
const NEWEST_WEIGHT = 0.1;
/** Requests that may wait where no limit is named. */
const DEFAULT_QUEUE = 100;

export class Share {
  waiting = 0;

  /** Requests that may wait. */
  maxWaiting = DEFAULT_QUEUE;

  #heldMs = 0;

  /** Bounds the work in flight; absent while the limit is not narrower than the instance. */
  #gate: PQueue | undefined;

  /** Average time a piece of work holds a slot, in milliseconds. */
  get heldMs(): number {
    return this.#heldMs;
  }

  get isFree(): boolean {
    return !this.#gate || (this.#gate.pending < this.#gate.concurrency && this.#gate.size === 0);
  }

  /** Takes over the limit as the configuration in force has it. */
  bound({ slots, queue }: LimitResource, ceiling: number): void {
    this.maxWaiting = queue;
    if (this.#gate) {
      if (this.#gate.concurrency !== slots) this.#gate.concurrency = slots;
    } else if (slots < ceiling) this.#gate = new PQueue({ concurrency: slots });
  }

  /** Time until the limit lets one more through, in milliseconds. */
  get expectedWaitMs(): number {
    if (!this.#gate || this.isFree) return 0;
    return ((this.#gate.size + 1) * this.#heldMs) / this.#gate.concurrency;
  }

  /** Runs `work` when the limit has room for it. */
  async run(work: () => Promise<void>, priority: number, gone?: AbortSignal): Promise<void> {
    if (!this.#gate) await work();
    else if (gone) await this.#gate.add(work, { priority, signal: gone });
    else await this.#gate.add(work, { priority });
  }

  /** Notes how long a piece of work held its slot. */
  learn(tookMs: number): void {
    this.#heldMs = average(this.#heldMs, tookMs);
  }
}

/** A moving average; the first value is taken as it is. */
export function average(before: number, latest: number): number {
  return before === 0 ? latest : before + (latest - before) * NEWEST_WEIGHT;
}

/** Stores the claims of a key range in one object and batches their writes. */
import { type Claim } from '../contracts.js';
import { type Platform } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { ClaimRange } from './claim_range.js';
import { ClaimStore } from './claim_store.js';

/** How claims are partitioned and their writes batched. */
export interface BatchOptions {
  /** Number of ranges; must be the same in the whole fleet. */
  readonly ranges: number;
  /** How long the first operation of a batch waits for others, in milliseconds. */
  readonly windowMs: number;
}

/** Number of leading hexadecimal digits of an id that determine its range. */
const RANGE_DIGITS = 8;

export class RangeClaims extends ClaimStore {
  readonly #ranges = new Map<number, ClaimRange>();

  constructor(
    private readonly platform: Platform,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly options: BatchOptions,
  ) {
    super();
  }

  acquire(id: string, claim: Claim, deadline: number): Promise<Claim> {
    return this.#range(id).acquire(id, claim, deadline);
  }

  settle(id: string, claim: Claim, deadline: number): Promise<void> {
    return this.#range(id).settle(id, claim, deadline);
  }

  release(id: string, nonce: string, deadline: number): Promise<void> {
    return this.#range(id).release(id, nonce, deadline);
  }

  #range(id: string): ClaimRange {
    const number = Number.parseInt(id.slice(0, RANGE_DIGITS), 16) % this.options.ranges;
    let range = this.#ranges.get(number);
    if (!range) {
      const { platform, clock, random, options } = this;
      range = new ClaimRange(`claim-ranges/${number}`, platform, clock, random, options.windowMs);
      this.#ranges.set(number, range);
    }
    return range;
  }
}

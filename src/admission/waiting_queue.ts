/** The jobs that wait for a slot, in the order in which they are started. */
import { type Queue } from 'p-queue';
import { type FairShare, newAccount } from './fair_share.js';
import { TargetOrder, type WaitingJob, type WaitingOrder } from './waiting_order.js';

type Run = () => Promise<unknown>;

/** Options with which `PQueue` adds a job. */
export interface WaitingOptions {
  readonly id?: string;
  readonly priority?: number;
  readonly waiting?: WaitingJob;
}

interface QueueItem {
  readonly run: Run;
  readonly id: string | undefined;
  readonly waiting: WaitingJob;
}

/**
 * Starts jobs in a `WaitingOrder`. While teams are known, jobs of equal rank start in the order of
 * what their teams have used, least first. Use changes while jobs wait, so the items are kept in the
 * `WaitingOrder`, and the team is chosen when a slot is free.
 */
export class WaitingQueue implements Queue<Run, WaitingOptions> {
  readonly #items: QueueItem[] = [];

  constructor(
    private readonly shares: FairShare,
    private readonly order: WaitingOrder = new TargetOrder(),
  ) {}

  get size(): number {
    return this.#items.length;
  }

  /** Number of waiting jobs that are late. */
  get late(): number {
    return this.#items.filter(({ waiting }) => waiting.isLate).length;
  }

  /** Total time for which the jobs ahead of `waiting` will hold slots, in milliseconds. */
  heldMsAhead(waiting: WaitingJob): number {
    let sum = 0;
    for (const { heldMs } of this.#ahead(waiting)) sum += heldMs;
    return sum;
  }

  /** Number of jobs that will start before `waiting`. */
  jobsAhead(waiting: WaitingJob): number {
    return this.#ahead(waiting).length;
  }

  /**
   * The waiting job to refuse in place of `waiting`, among the `eligible` ones of the same or a lower
   * priority: of the team that is most above its share, a late one first. Undefined if no team has
   * used more than that of `waiting`, both counted with their waiting jobs.
   */
  displaceable(
    waiting: WaitingJob,
    eligible: (other: WaitingJob) => boolean,
  ): WaitingJob | undefined {
    if (!this.shares.isActive) return undefined;
    const ownMs = this.#startMs(waiting);
    let chosen: WaitingJob | undefined;
    let chosenMs = ownMs;
    this.#project((other, startMs) => {
      if (other.account === waiting.account || other.priority > waiting.priority) return;
      if (!this.shares.isBelow(ownMs, startMs) || !eligible(other)) return;
      const isBetter = chosen && chosen.isLate !== other.isLate ? other.isLate : startMs > chosenMs;
      if (!isBetter) return;
      chosen = other;
      chosenMs = startMs;
    });
    return chosen;
  }

  /**
   * Marks a job as late and moves it behind all that are in time. A job that still waits for a named
   * limit is not in this queue yet; it is marked, and will be added as late.
   */
  demote(waiting: WaitingJob): void {
    waiting.isLate = true;
    const index = this.#items.findIndex((item) => item.waiting === waiting);
    if (index < 0) return;
    const [item] = this.#items.splice(index, 1);
    this.#insert(item!);
  }

  enqueue(run: Run, { id, waiting = DEFAULT_WAITING }: WaitingOptions = {}): void {
    this.#insert({ run, id, waiting });
  }

  dequeue(): Run | undefined {
    const index = this.shares.isActive ? this.#nextByUse() : 0;
    return this.#items.splice(index, 1)[0]?.run;
  }

  filter({ priority }: Readonly<WaitingOptions>): Run[] {
    const chosen = this.#items.filter((item) => item.waiting.priority === priority);
    return chosen.map(({ run }) => run);
  }

  /** Called by `PQueue` when a job is aborted while it waits. */
  remove(idOrRun: string | Run): void {
    const index = this.#items.findIndex(({ id, run }) => id === idOrRun || run === idOrRun);
    if (index >= 0) this.#items.splice(index, 1);
  }

  setPriority(): void {
    throw new Error(
      'setPriority is not supported: the order follows from the waiting jobs themselves',
    );
  }

  #insert(item: QueueItem): void {
    const index = this.#items.findIndex((other) =>
      this.order.comesBefore(item.waiting, other.waiting),
    );
    if (index < 0) this.#items.push(item);
    else this.#items.splice(index, 0, item);
  }

  /** Index of the job to start next: of the highest rank, that of the team with the least use. */
  #nextByUse(): number {
    const [first] = this.#items;
    if (!first) return 0;
    let next = 0;
    for (const [index, { waiting }] of this.#items.entries()) {
      if (this.order.outranks(first.waiting, waiting)) break;
      if (waiting.account.usedMs < this.#items[next]!.waiting.account.usedMs) next = index;
    }
    return next;
  }

  #ahead(waiting: WaitingJob): WaitingJob[] {
    if (!this.shares.isActive) {
      const index = this.#items.findIndex((item) => this.order.comesBefore(waiting, item.waiting));
      return this.#items.slice(0, index < 0 ? undefined : index).map((item) => item.waiting);
    }
    const ownMs = this.#startMs(waiting);
    const ahead: WaitingJob[] = [];
    this.#project((other, startMs) => {
      if (this.#startsBefore(other, startMs, waiting, ownMs)) ahead.push(other);
    });
    return ahead;
  }

  /** Whether `one` starts before `other`, given what their teams will have used by then. */
  #startsBefore(one: WaitingJob, oneMs: number, other: WaitingJob, otherMs: number): boolean {
    if (this.order.outranks(one, other)) return true;
    if (this.order.outranks(other, one)) return false;
    return oneMs === otherMs ? !this.order.comesBefore(other, one) : oneMs < otherMs;
  }

  /** What the team of `waiting` will have used when it starts, were it to wait here. */
  #startMs(waiting: WaitingJob): number {
    const { account } = waiting;
    const { weight } = this.shares;
    let startMs = account.usedMs;
    for (const item of this.#items) {
      if (item.waiting.account !== account) continue;
      if (this.order.comesBefore(waiting, item.waiting)) break;
      startMs += this.shares.chargeOf(account, item.waiting.heldMs, weight);
    }
    return startMs;
  }

  /** Calls `visit` for each waiting job with what its team will have used when it starts. */
  #project(visit: (waiting: WaitingJob, startMs: number) => void): void {
    const { weight } = this.shares;
    for (const { waiting } of this.#items) waiting.account.projectedMs = waiting.account.usedMs;
    for (const { waiting } of this.#items) {
      const { account, heldMs } = waiting;
      visit(waiting, account.projectedMs);
      account.projectedMs += this.shares.chargeOf(account, heldMs, weight);
    }
  }
}

/** Used for jobs that start at once. */
const DEFAULT_WAITING: WaitingJob = {
  priority: 0,
  targetAt: Infinity,
  heldMs: 0,
  account: newAccount(),
  isLate: false,
};

/** `PQueue` creates the queue itself from a class; this one returns the queue that is shared with it. */
export function queueClassOf(queue: WaitingQueue): new () => WaitingQueue {
  return class {
    constructor() {
      // eslint-disable-next-line no-constructor-return -- `PQueue` has to use this queue
      return queue;
    }
  } as new () => WaitingQueue;
}

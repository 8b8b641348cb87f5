/** The order in which jobs that wait for a slot are started. */
import { type Queue } from 'p-queue';

type Run = () => Promise<unknown>;

/** A job that waits. */
export interface WaitingJob {
  /** 0 to 9; higher values start first. */
  readonly priority: number;
  /** Instant by which the answer should arrive, in milliseconds since the epoch. */
  readonly targetAt: number;
  /** Expected time for which it will hold a slot, in milliseconds. */
  readonly heldMs: number;
  /** Whether it can no longer be answered by its target. */
  isLate: boolean;
}

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
 * Jobs that can still meet their target start before late ones, regardless of arrival. Under
 * overload a FIFO queue serves every job just too late; this one serves as many in time as there are
 * slots for. Among jobs in time, and among late ones, the higher priority starts first, then the
 * earlier target, which belongs to callers that were refused before and have retried.
 */
export class WaitingQueue implements Queue<Run, WaitingOptions> {
  readonly #items: QueueItem[] = [];

  #late = 0;

  get size(): number {
    return this.#items.length;
  }

  /** Number of waiting jobs that are late. */
  get late(): number {
    return this.#late;
  }

  /** Total time for which the jobs ahead of `waiting` will hold slots, in milliseconds. */
  heldMsAhead(waiting: WaitingJob): number {
    let sum = 0;
    for (const item of this.#items) {
      if (comesBefore(waiting, item.waiting)) break;
      sum += item.waiting.heldMs;
    }
    return sum;
  }

  /** Number of jobs that will start before `waiting`. */
  jobsAhead(waiting: WaitingJob): number {
    const index = this.#items.findIndex((item) => comesBefore(waiting, item.waiting));
    return index < 0 ? this.#items.length : index;
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
    this.#late += 1;
  }

  enqueue(run: Run, { id, waiting = DEFAULT_WAITING }: WaitingOptions = {}): void {
    this.#insert({ run, id, waiting });
    if (waiting.isLate) this.#late += 1;
  }

  dequeue(): Run | undefined {
    const item = this.#items.shift();
    if (item?.waiting.isLate) this.#late -= 1;
    return item?.run;
  }

  filter({ priority }: Readonly<WaitingOptions>): Run[] {
    const chosen = this.#items.filter((item) => item.waiting.priority === priority);
    return chosen.map(({ run }) => run);
  }

  /** Called by `PQueue` when a job is aborted while it waits. */
  remove(idOrRun: string | Run): void {
    const index = this.#items.findIndex(({ id, run }) => id === idOrRun || run === idOrRun);
    if (index < 0) return;
    const [item] = this.#items.splice(index, 1);
    if (item!.waiting.isLate) this.#late -= 1;
  }

  setPriority(): void {
    throw new Error(
      'setPriority is not supported: the order follows from the waiting jobs themselves',
    );
  }

  #insert(item: QueueItem): void {
    const index = this.#items.findIndex(({ waiting }) => comesBefore(item.waiting, waiting));
    if (index < 0) this.#items.push(item);
    else this.#items.splice(index, 0, item);
  }
}

const DEFAULT_WAITING: WaitingJob = { priority: 0, targetAt: Infinity, heldMs: 0, isLate: false };

function comesBefore(one: WaitingJob, other: WaitingJob): boolean {
  if (one.isLate !== other.isLate) return other.isLate;
  if (one.priority !== other.priority) return one.priority > other.priority;
  return one.targetAt < other.targetAt;
}

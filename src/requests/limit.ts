/** Bounds the work that one upstream instance gets at a time. */
import PQueue from 'p-queue';
import { type Limit as LimitResource, OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { AdaptiveSlots } from './adaptive_slots.js';
import { type Load } from './load.js';
import { notRun } from './refusal.js';
import { average, Share } from './share.js';

/** How long a caller is told to wait where nothing better is known, in milliseconds. */
const RETRY_AFTER_MS = 1_000;
const PRIORITIES = 10;

/** What a piece of work says of itself before it runs. */
export interface Ticket {
  /** 0 to 9; higher goes first. */
  readonly priority: number;
  /** In milliseconds since the epoch. */
  readonly deadline: number;
  /** The limit that its route names, as the configuration in force has it. */
  readonly limit: LimitResource | undefined;
  /** Calls back when nobody waits for it any more. */
  onGone(callback: () => void): void;
}

/** How a piece of work fared at the upstream instance. */
export interface Outcome {
  /** Time until the answer began, in milliseconds. */
  readonly headMs: number;
  /** Whether the instance refused it for lack of room. */
  readonly isShed: boolean;
}

type Work = () => Promise<Outcome>;

export class Limit {
  /** Set while the upstream instance is leaving: what still waits is not begun. */
  isDraining = false;

  readonly #slots: AdaptiveSlots;

  readonly #queue: PQueue;

  readonly #shares = new Map<string, Share>();

  /** Waiting work by priority. */
  readonly #waiting: number[] = new Array<number>(PRIORITIES).fill(0);

  #heldMs = 0;

  constructor(
    private readonly clock: Clock,
    slots: number,
  ) {
    this.#slots = new AdaptiveSlots(clock, slots);
    this.#queue = new PQueue({ concurrency: this.#slots.now });
  }

  get inFlight(): number {
    return this.#queue.pending;
  }

  get waiting(): number {
    return this.#waiting.reduce((sum, count) => sum + count, 0);
  }

  /** As it is told to entries. */
  get load(): Load {
    const { inFlight, waiting } = this;
    return { inFlight, slots: this.#slots.now, waiting };
  }

  /** Slots that the upstream instance has announced; it gets that many at most. */
  set slots(slots: number) {
    this.#slots.ceiling = slots;
    this.#adjust();
  }

  /** Begins with few slots, because the upstream instance has just started. */
  restart(): void {
    this.#slots.restart();
    this.#adjust();
  }

  /**
   * Runs `work` when a slot is free. Refuses with `not-run` at once when it could not be done by
   * its deadline, when too much waits already, or when its caller goes away before it begins.
   */
  async run(ticket: Ticket, work: Work): Promise<void> {
    const share = this.#share(ticket.limit);
    const isFree = this.#queue.pending < this.#queue.concurrency && this.#queue.size === 0;
    if (!isFree || !share.isFree) await this.#wait(ticket, share, work);
    else {
      await share.run(() => this.#queue.add(() => this.#hold(share, work)), ticket.priority);
    }
  }

  async #wait(ticket: Ticket, share: Share, work: Work): Promise<void> {
    const { priority, deadline } = ticket;
    const waitMs = Math.max(share.expectedWaitMs, this.#expectedWaitMs(priority));
    const isHopeless = this.clock.now() + waitMs + share.heldMs > deadline;
    if (isHopeless || share.waiting >= share.maxWaiting) throw this.#full(waitMs);
    const gone = new AbortController();
    let isWaiting = true;
    const leave = () => {
      if (!isWaiting) return;
      isWaiting = false;
      this.#waiting[priority]! -= 1;
      share.waiting -= 1;
    };
    ticket.onGone(() => {
      // Aborting what already runs would free its slot while the upstream instance works on.
      if (isWaiting) gone.abort(notRun('cancelled', 'the caller has gone'));
    });
    const begin = () => {
      leave();
      this.#recheck(deadline, share);
      return this.#hold(share, work);
    };
    this.#waiting[priority]! += 1;
    share.waiting += 1;
    const { signal } = gone;
    try {
      await share.run(() => this.#queue.add(begin, { priority, signal }), priority, signal);
    } finally {
      leave();
    }
  }

  /** What has changed while it waited; nothing of it has run yet. */
  #recheck(deadline: number, share: Share): void {
    if (this.isDraining) throw notRun('draining', 'the upstream instance is leaving');
    const now = this.clock.now();
    if (now >= deadline) throw notRun('deadline', 'no time was left to run');
    if (now + share.heldMs > deadline) throw this.#full(this.#expectedWaitMs(0));
  }

  async #hold(share: Share, work: Work): Promise<void> {
    const startedAt = this.clock.now();
    const isBinding = this.#queue.pending >= this.#queue.concurrency;
    try {
      const { headMs, isShed } = await work();
      if (isShed) this.#slots.overrun(headMs);
      else this.#slots.answered(headMs, isBinding);
    } catch (error) {
      if (isOverrun(error)) this.#slots.overrun(this.clock.now() - startedAt);
      throw error;
    } finally {
      const tookMs = this.clock.now() - startedAt;
      share.learn(tookMs);
      this.#heldMs = average(this.#heldMs, tookMs);
      this.#adjust();
    }
  }

  /** Time until a slot is free for new work of that priority, in milliseconds. */
  #expectedWaitMs(priority: number): number {
    let ahead = 1;
    for (let other = priority; other < PRIORITIES; other++) ahead += this.#waiting[other]!;
    return (ahead * this.#heldMs) / this.#queue.concurrency;
  }

  #share(limit: LimitResource | undefined): Share {
    const name = limit?.name ?? '';
    let share = this.#shares.get(name);
    if (!share) {
      share = new Share();
      this.#shares.set(name, share);
    }
    if (limit) share.bound(limit, this.#slots.ceiling);
    return share;
  }

  #adjust(): void {
    const slots = this.#slots.now;
    if (this.#queue.concurrency !== slots) this.#queue.concurrency = slots;
  }

  #full(waitMs: number): OutcomeError {
    const retryAt = this.clock.now() + (waitMs > 0 ? waitMs : RETRY_AFTER_MS);
    return notRun('overloaded', 'no slot will be free in time', retryAt);
  }
}

/** Whether the instance had no room for the work, or was late with it. */
function isOverrun(error: unknown): boolean {
  return error instanceof OutcomeError && (error.reason === 'deadline' || error.reason === 'shed');
}

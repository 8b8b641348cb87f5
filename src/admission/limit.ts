/** Bounds the work that one upstream instance gets at a time. */
import PQueue from 'p-queue';
import { type Limit as LimitResource, notRun, OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { AdaptiveSlots } from './adaptive_slots.js';
import { type Load } from './load.js';
import { average, Share } from './share.js';
import { type Waiting, WaitingLine, type WaitingOptions } from './waiting_line.js';

/** How long a caller is told to wait where nothing better is known, in milliseconds. */
const RETRY_AFTER_MS = 1_000;
/** The least it is told: sooner, nothing will have changed, in milliseconds. */
const MIN_RETRY_MS = 100;
/**
 * How much longer than usual work may take and still be in time: work varies, and what is begun
 * with no time to spare is late half the time.
 */
const HEADROOM = 1.25;
/** Share of the slots that may be waited for by work that will be late. */
const LATE_SHARE = 0.25;
/**
 * For so long after work that could be in time had to wait, work that will be late does not wait at
 * all, in milliseconds. Under sustained overload it would hold a line that is refused in the end, and
 * take slots that the next to come needs; where nothing is in time any more, or all is, it may wait.
 */
const CONTESTED_MS = 1_000;
/** How long such work waits at most; a caller who waits in vain is better told at once. */
const LATE_WAIT_MS = 250;
/** Share of the slots in use from which a refusal by the instance is for lack of room. */
const FULL_SHARE = 0.8;
/** Kinds of work whose time is remembered; beyond that all are forgotten. */
const MAX_KINDS = 1_000;

/** What a piece of work says of itself before it runs. */
export interface Ticket {
  /** 0 to 9; higher goes first. */
  readonly priority: number;
  /** Work of one kind takes about the same time. */
  readonly kind?: string;
  /** Instant until which an answer is of full use; the deadline when absent. */
  readonly targetAt?: number;
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

  readonly #line = new WaitingLine();

  readonly #queue: PQueue<WaitingLine, WaitingOptions>;

  readonly #shares = new Map<string, Share>();

  /** Average time that work of a kind holds a slot, in milliseconds. */
  readonly #heldByKind = new Map<string, number>();

  #heldMs = 0;

  /** Until when slots are taken for contested, in milliseconds since the epoch. */
  #contestedUntil = 0;

  constructor(
    private readonly clock: Clock,
    slots: number,
  ) {
    this.#slots = new AdaptiveSlots(clock, slots);
    const queueClass = classOf(this.#line);
    this.#queue = new PQueue({ concurrency: this.#slots.now, queueClass });
  }

  get inFlight(): number {
    return this.#queue.pending;
  }

  get waiting(): number {
    return this.#line.size;
  }

  /** As it is told to entries. */
  get load(): Load {
    const { inFlight, waiting } = this;
    const heldMs = Math.round(this.#heldMs);
    return { inFlight, slots: this.#slots.now, waiting, heldMs, leavingMs: 0 };
  }

  /** How long work of that kind usually holds a slot, in milliseconds; 0 if unknown. */
  heldMsOf(kind: string): number {
    return this.#heldByKind.get(kind) ?? this.#heldMs;
  }

  /** Slots that the upstream instance has announced; it gets that many at most. */
  set slots(slots: number) {
    this.#slots.ceiling = slots;
    this.#adjust();
  }

  /** Begins anew: with few slots, unless the upstream instance is known to be warm. */
  restart(isWarm = false): void {
    this.#slots.restart(isWarm);
    this.#adjust();
  }

  /**
   * Runs `work` when a slot is free. Refuses with `not-run` at once when too much waits for it to
   * be done in time, and when its caller goes away or its time runs out before it begins.
   */
  async run(ticket: Ticket, work: Work): Promise<void> {
    const share = this.#share(ticket.limit);
    const isFree = this.#queue.pending < this.#queue.concurrency && this.#queue.size === 0;
    if (!isFree || !share.isFree) await this.#wait(ticket, share, work);
    else {
      const hold = () => this.#hold(ticket, share, work);
      await share.run(() => this.#queue.add(hold), ticket.priority);
    }
  }

  async #wait(ticket: Ticket, share: Share, work: Work): Promise<void> {
    const waiting = this.#admit(ticket, share);
    const { priority } = ticket;
    const gone = new AbortController();
    let isWaiting = true;
    let timer: NodeJS.Timeout | undefined;
    const leave = () => {
      if (!isWaiting) return;
      isWaiting = false;
      share.waiting -= 1;
      clearTimeout(timer);
    };
    const giveUp = (error: OutcomeError) => {
      // Aborting what already runs would free its slot while the upstream instance works on.
      if (isWaiting) gone.abort(error);
    };
    const watch = () => {
      const left = this.#patienceOf(ticket, waiting) - this.clock.now();
      timer = setTimeout(() => {
        if (waiting.isLate || !this.#hasRoomForLate) giveUp(this.#full(ticket, waiting, 0));
        else {
          this.#line.demote(waiting);
          watch();
        }
      }, left);
    };
    ticket.onGone(() => giveUp(notRun('cancelled', 'the caller has gone')));
    const begin = () => {
      leave();
      this.#recheck(ticket, waiting);
      return this.#hold(ticket, share, work);
    };
    share.waiting += 1;
    watch();
    const { signal } = gone;
    const options = { priority, signal, waiting };
    try {
      await share.run(() => this.#queue.add(begin, options), priority, signal);
    } finally {
      leave();
    }
  }

  /** Decides whether work may wait, and as what; throws the refusal if it may not. */
  #admit(ticket: Ticket, share: Share): Waiting {
    const { priority, deadline, targetAt = deadline } = ticket;
    const now = this.clock.now();
    const heldMs = this.#heldOf(ticket);
    const waiting: Waiting = { priority, targetAt, heldMs, isLate: false };
    const headroom = targetAt === deadline ? 1 : HEADROOM;
    const inTimeMs = Math.max(share.expectedWaitMs, this.#expectedWaitMs(waiting));
    waiting.isLate = now + inTimeMs + heldMs * headroom > targetAt;
    const waitMs = waiting.isLate ? this.#expectedWaitMs(waiting) : inTimeMs;
    const isHopeless = now + Math.max(waitMs, inTimeMs) + heldMs > deadline;
    const isCrowded = waiting.isLate && !this.#hasRoomForLate;
    if (isHopeless || isCrowded || share.waiting >= share.maxWaiting) {
      throw this.#full(ticket, waiting, inTimeMs);
    }
    const isFull = this.#queue.pending >= this.#queue.concurrency;
    if (isFull && !waiting.isLate && targetAt < deadline) {
      this.#contestedUntil = now + CONTESTED_MS;
    }
    return waiting;
  }

  get #hasRoomForLate(): boolean {
    if (this.clock.now() < this.#contestedUntil) return false;
    return this.#line.late < this.#queue.concurrency * LATE_SHARE;
  }

  /** Until when it is worth waiting, in milliseconds since the epoch. */
  #patienceOf({ deadline }: Ticket, { isLate, targetAt, heldMs }: Waiting): number {
    if (!isLate) return Math.min(targetAt, deadline) - heldMs;
    return Math.min(this.clock.now() + LATE_WAIT_MS, deadline - heldMs);
  }

  /** What has changed while it waited; nothing of it has run yet. */
  #recheck(ticket: Ticket, waiting: Waiting): void {
    if (this.isDraining) throw notRun('draining', 'the upstream instance is leaving');
    const now = this.clock.now();
    if (now >= ticket.deadline) throw notRun('deadline', 'no time was left to run');
    if (now + waiting.heldMs > ticket.deadline) throw this.#full(ticket, waiting, 0);
  }

  async #hold(ticket: Ticket, share: Share, work: Work): Promise<void> {
    const startedAt = this.clock.now();
    const { pending, concurrency } = this.#queue;
    const isBinding = pending >= concurrency;
    const isFull = pending >= concurrency * FULL_SHARE;
    try {
      const { headMs, isShed } = await work();
      if (!isShed) this.#slots.answered(headMs, isBinding);
      else if (isFull) this.#slots.overrun(headMs);
    } catch (error) {
      // One that refuses with slots free has other reasons, and fewer requests would not help.
      if (isFull && isOverrun(error)) this.#slots.overrun(this.clock.now() - startedAt);
      throw error;
    } finally {
      this.#learn(ticket, share, this.clock.now() - startedAt);
      this.#adjust();
    }
  }

  #learn({ kind }: Ticket, share: Share, tookMs: number): void {
    share.learn(tookMs);
    this.#heldMs = average(this.#heldMs, tookMs);
    if (kind === undefined) return;
    if (this.#heldByKind.size > MAX_KINDS) this.#heldByKind.clear();
    this.#heldByKind.set(kind, average(this.#heldByKind.get(kind) ?? 0, tookMs));
  }

  #heldOf({ kind }: Ticket): number {
    return kind === undefined ? this.#heldMs : this.heldMsOf(kind);
  }

  /** Time until a slot is free for new work, in milliseconds. */
  #expectedWaitMs(waiting: Waiting): number {
    return (this.#line.heldAhead(waiting) + this.#heldMs) / this.#queue.concurrency;
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

  /** Tells when there may be room for it to be done within its target. */
  #full({ deadline, targetAt = deadline }: Ticket, { heldMs }: Waiting, waitMs: number) {
    const now = this.clock.now();
    const excessMs = waitMs + heldMs - Math.max(0, targetAt - now);
    const afterMs = heldMs > 0 ? Math.max(MIN_RETRY_MS, excessMs) : RETRY_AFTER_MS;
    return notRun('overloaded', 'no slot will be free in time', now + afterMs);
  }
}

/** The queue makes its own line, as its interface has it; this one is needed here too. */
function classOf(line: WaitingLine): new () => WaitingLine {
  return class {
    constructor() {
      // eslint-disable-next-line no-constructor-return -- see above
      return line;
    }
  } as new () => WaitingLine;
}

/** Whether the instance had no room for the work. */
function isOverrun(error: unknown): boolean {
  return error instanceof OutcomeError && error.reason === 'shed';
}

/** Whether this process reads the source of versions. */
import { type Ranking } from '../membership/ranking.js';
import { type Clock } from '../runtime/clock.js';
import { sleepUntilAny } from '../runtime/sleep.js';

/**
 * Shortest watch, as a part of the period. It keeps an answer that comes just before its deadline from
 * costing a second watch. With longer ones, no watch would end for long after a version, when all begin
 * anew, and a source that goes silent then would be noticed that much later.
 */
const MIN_WATCH = 0.05;

/** A process reads the source if it ranks as a reader, or in place of a reader that asked it to. */
export class ReaderRole {
  #delegatedUntil = 0;

  #waking = new AbortController();

  constructor(
    private readonly ranking: Pick<Ranking, 'isReader' | 'readerIndex' | 'readerPhase'>,
    private readonly clock: Clock,
  ) {}

  get isReader(): boolean {
    return this.isRanked || this.isDelegated;
  }

  get isRanked(): boolean {
    return this.ranking.isReader;
  }

  get isDelegated(): boolean {
    return this.clock.now() < this.#delegatedUntil;
  }

  /** Index of this process among the readers of all data centres; -1 if it does not rank as one. */
  get readerIndex(): number {
    return this.ranking.readerIndex;
  }

  /**
   * Deadline of the next watch of a ranked reader, at most little more than a period from now. The
   * deadlines of all readers are spread evenly over the period: when the source goes silent, the first
   * answer is overdue after a part of a period, and without more calls. Those of a data centre are far
   * apart, as its readers may hear no other one.
   */
  nextWatchDeadline(periodMs: number): number {
    const phase = this.ranking.readerPhase * periodMs;
    const earliest = this.clock.now() + periodMs * MIN_WATCH;
    return phase + Math.ceil((earliest - phase) / periodMs) * periodMs;
  }

  /** Makes this process read until then, in milliseconds since the epoch, or longer if it does already. */
  delegateUntil(deadline: number): void {
    this.#delegatedUntil = Math.max(this.#delegatedUntil, deadline);
    this.#waking.abort();
  }

  /** Resolves at `deadline`, as soon as reading is delegated, or when `signal` aborts. */
  async waitUntilDelegated(deadline: number, signal: AbortSignal): Promise<void> {
    this.#waking = new AbortController();
    await sleepUntilAny(this.clock, deadline, [signal, this.#waking.signal]);
  }
}

/** Bounds the claims that one process asks of the platform at a time. */
import PQueue from 'p-queue';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { unsettled } from './claim_store.js';

/** Small, because all processes start together after an outage. */
const FIRST_SIZE = 2;
const LARGEST_SIZE = 64;
/** Claims that may wait for a place; a burst of bookings at one process is not refused. */
const MAX_WAITING = 64;
/** How long they may wait; a caller is better told at once to come back, in milliseconds. */
const WAIT_MS = 200;
/** A claim that takes longer tells that the platform's writes queue up, in milliseconds. */
const TARGET_MS = 100;
const SHRINK = 0.7;
/** Slow answers alone shrink it no further: the platform may be slow without being busy. */
const SLOW_SIZE = 4;
/** No answer at all tells of a queue longer than a claim may take, in milliseconds. */
const FIRST_PAUSE_MS = 1_000;
const LONGEST_PAUSE_MS = 5_000;

/**
 * The platform's writes are shared by the whole fleet. Without a bound, processes that ask for
 * more than it can write would wait for each other until their deadlines, and nearly every write
 * would be for a caller who has given up. The window grows by one a round while answers are quick
 * and shrinks when they are slow. Without any answer it shrinks to one, after a pause in which all
 * are refused at once.
 */
export class StoreWindow {
  readonly #queue = new PQueue({ concurrency: FIRST_SIZE });

  #size = FIRST_SIZE;

  #pauseMs = FIRST_PAUSE_MS;

  #pausedUntil = 0;

  #shrunkAt = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Runs `ask` when there is a place; refuses as `not-run` if there is none soon. */
  async run<T>(deadline: number, ask: () => Promise<T>): Promise<T> {
    if (this.#queue.size >= MAX_WAITING) throw unsettled(false);
    const startBy = Math.min(deadline, this.clock.now() + WAIT_MS);
    return this.#queue.add(() => this.#ask(startBy, ask));
  }

  async #ask<T>(startBy: number, ask: () => Promise<T>): Promise<T> {
    const askedAt = this.clock.now();
    if (askedAt >= startBy || askedAt < this.#pausedUntil) throw unsettled(false);
    let isAnswered = false;
    try {
      const answer = await ask();
      isAnswered = true;
      return answer;
    } finally {
      this.#learn(askedAt, isAnswered);
      this.#queue.concurrency = Math.floor(this.#size);
    }
  }

  #learn(askedAt: number, isAnswered: boolean): void {
    const now = this.clock.now();
    if (isAnswered && now - askedAt <= TARGET_MS) {
      this.#size = Math.min(LARGEST_SIZE, this.#size + 1 / this.#size);
      this.#pauseMs = FIRST_PAUSE_MS;
      return;
    }
    // Those asked before the window shrank were slow for the same reason: it shrinks once for all.
    if (askedAt < this.#shrunkAt) return;
    this.#shrunkAt = now;
    if (isAnswered) {
      this.#size = Math.max(Math.min(SLOW_SIZE, this.#size), this.#size * SHRINK);
      return;
    }
    this.#size = 1;
    this.#pausedUntil = now + this.random.jitter(this.#pauseMs);
    this.#pauseMs = Math.min(LONGEST_PAUSE_MS, this.#pauseMs * 2);
  }
}

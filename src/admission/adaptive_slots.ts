/** How much work an upstream instance really bears, found out from how it fares. */
import { type Clock } from '../runtime/clock.js';

/** Slots at the start of a slow start. */
const START = 4;
const MIN_SLOTS = 1;
/**
 * Never fewer than this share of the slots, once they were reached. Each step below what an
 * instance bears turns work away that it could do; what it does not bear it refuses by itself.
 */
const FLOOR = 0.5;
/** What is left of the slots after the instance has shed work, or was late. */
const SHED_FACTOR = 0.7;
const LATENCY_FACTOR = 0.9;
/**
 * Latency over the long-run average that shows work queueing inside the instance. Below it a mix
 * of short and long work, or slow answers to calls that it makes, looks the same.
 */
const TOLERATED_RISE = 3;
/** Answers that make up one look at the latency. */
const WINDOW = 32;
/** Weight of a window in the long-run average when latency rises, and when it falls. */
const RISE_WEIGHT = 0.05;
const FALL_WEIGHT = 0.3;
/**
 * Share of refusals, among what the instance was given since a step down, that shows the step to be
 * of no use: one that bears fewer than announced takes nearly all of what is below that.
 */
const USELESS_SHARE = 0.25;
/** Work that makes up such a judgement. */
const JUDGED = 8;
/** For so long after a useless step refusals shrink nothing, in milliseconds. */
const USELESS_MS = 10_000;
/** Time between two steps down at least, in milliseconds. */
const MIN_PAUSE_MS = 50;

/**
 * Additive increase, multiplicative decrease below the announced slots. What an instance announces
 * may be more than it bears: then work queues inside it, where it can be neither refused in time
 * nor sent elsewhere. After a cold start the slots double with each round of answers.
 */
export class AdaptiveSlots {
  #slots: number;

  #ceiling: number;

  /** Whether no step down has been needed since the cold start. */
  #isStarting = true;

  /** Instant until which one step down counts for all that was in flight at the time. */
  #pausedUntil = 0;

  /** What became of work since the last step down for refusals. */
  #taken = 0;

  #refused = 0;

  /** Instant until which refusals shrink nothing. */
  #uselessUntil = 0;

  #usualMs = 0;

  #windowMs = 0;

  #windowSize = 0;

  constructor(
    private readonly clock: Clock,
    ceiling: number,
  ) {
    this.#ceiling = ceiling;
    this.#slots = Math.min(START, ceiling);
  }

  /** Requests that may be in flight now. */
  get now(): number {
    return Math.floor(this.#slots);
  }

  /** Slots that the instance has announced. */
  get ceiling(): number {
    return this.#ceiling;
  }

  set ceiling(ceiling: number) {
    this.#ceiling = ceiling;
    this.#slots = Math.min(this.#slots, ceiling);
  }

  /** Begins anew, because the instance has just started. */
  restart(isWarm = false): void {
    this.#slots = isWarm ? this.#ceiling : Math.min(START, this.#ceiling);
    this.#isStarting = true;
    this.#usualMs = 0;
    this.#windowSize = 0;
    this.#windowMs = 0;
  }

  /** Notes an answer. `isBinding` says whether the slots were all taken at the time. */
  answered(tookMs: number, isBinding: boolean): void {
    this.#taken += 1;
    this.#windowMs += tookMs;
    this.#windowSize += 1;
    if (this.#windowSize >= WINDOW) this.#judge(isBinding);
    if (!isBinding) return;
    const step = this.#isStarting ? 1 : 1 / this.#slots;
    this.#slots = Math.min(this.#ceiling, this.#slots + step);
  }

  /**
   * Notes that the instance refused work with most slots taken. One that is out of order refuses a
   * share of whatever it gets: with half of its slots it would do half of the work that it takes,
   * and refuse as many. So a step that has not stopped the refusals is taken back.
   */
  overrun(tookMs: number): void {
    this.#refused += 1;
    const now = this.clock.now();
    if (now < this.#pausedUntil || now < this.#uselessUntil) return;
    const judged = this.#taken + this.#refused;
    const hasStepped = this.#slots < this.#ceiling && !this.#isStarting;
    if (hasStepped && judged >= JUDGED && this.#refused > judged * USELESS_SHARE) {
      this.#uselessUntil = now + USELESS_MS;
      this.#slots = this.#ceiling;
    } else this.#stepDown(SHED_FACTOR, tookMs);
    this.#taken = 0;
    this.#refused = 0;
  }

  #judge(isBinding: boolean): void {
    const latestMs = this.#windowMs / this.#windowSize;
    this.#windowMs = 0;
    this.#windowSize = 0;
    const usualMs = this.#usualMs;
    if (usualMs === 0) {
      this.#usualMs = latestMs;
      return;
    }
    const weight = latestMs < usualMs ? FALL_WEIGHT : RISE_WEIGHT;
    this.#usualMs += (latestMs - usualMs) * weight;
    const hasRisen = latestMs > usualMs * TOLERATED_RISE;
    if (isBinding && hasRisen) this.#stepDown(LATENCY_FACTOR, latestMs);
  }

  #stepDown(factor: number, tookMs: number): void {
    const floor = Math.max(MIN_SLOTS, this.#ceiling * FLOOR);
    this.#isStarting = false;
    const now = this.clock.now();
    if (now < this.#pausedUntil) return;
    this.#pausedUntil = now + Math.max(MIN_PAUSE_MS, tookMs);
    this.#slots = Math.min(this.#slots, Math.max(floor, this.#slots * factor));
  }
}

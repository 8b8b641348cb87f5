/** The rate limit that an upstream instance states in its answers. */
import { type Clock } from '../runtime/clock.js';

/** Requests per second as an instance writes them; other notations of numbers are not accepted. */
const RATE_PATTERN = /^\d{1,9}(?:\.\d{1,20})?$/;
/** A new rate is reported if it differs from the one reported last by more than this share. */
const REPORTED_CHANGE = 0.1;
/**
 * Minimum rate that is applied. An instance that takes no request gives no answer either, and could
 * not withdraw its limit.
 */
const MIN_PER_SECOND = 0.25;
/**
 * Time whose requests may start at once after a pause, in milliseconds. It is short: many requests at
 * once are what an instance with a limit cannot handle.
 */
const BURST_MS = 250;
const MS_PER_SECOND = 1_000;

/** Returns undefined if the text is not a valid rate. */
export function parseRate(text: string): number | undefined {
  return RATE_PATTERN.test(text) ? Number(text) : undefined;
}

/** A token bucket whose rate the instance sets; all its requests pass the process that holds it. */
export class RateLimit {
  /** Called when the instance states a limit, changes it notably or withdraws it (`Infinity`). */
  onChange: (perSecond: number) => void = () => {};

  #perSecond = Infinity;

  #reported = Infinity;

  /** Instant of the last answer that stated a limit. */
  #statedAt = 0;

  /** Whether an answer of this run of the instance has stated a limit, or none. */
  #hasAnswer = false;

  /** Requests that may start now; below 0 after a request was started early. */
  #tokens = 0;

  #refilledAt = 0;

  constructor(private readonly clock: Clock) {}

  /** Requests per second that the instance takes; `Infinity` without a limit. */
  get perSecond(): number {
    return this.#perSecond;
  }

  /** Requests per second that may start; above 0, and `Infinity` without a limit. */
  get applied(): number {
    return Math.max(MIN_PER_SECOND, this.#perSecond);
  }

  /** Instant from which the next request may start, in milliseconds since the epoch. */
  get nextAt(): number {
    if (this.#perSecond === Infinity) return 0;
    this.#refill();
    return this.#refilledAt + Math.max(0, 1 - this.#tokens) * this.#intervalMs;
  }

  /** Time until a request may start behind `ahead` others, in milliseconds. */
  waitMs(ahead: number): number {
    if (this.#perSecond === Infinity) return 0;
    const waitMs = this.nextAt - this.clock.now();
    return Math.max(0, waitMs + ahead * this.#intervalMs);
  }

  /** Counts a request that starts now. */
  take(): void {
    if (this.#perSecond === Infinity) return;
    this.#refill();
    this.#tokens -= 1;
  }

  /**
   * Records what an answer states, `Infinity` for no limit; its request was sent at `sentAt`. Answers
   * may overtake each other, so only a request sent after the last statement can withdraw it.
   */
  record(perSecond: number, sentAt: number): void {
    this.#hasAnswer = true;
    if (perSecond === Infinity) {
      if (this.#perSecond === Infinity || sentAt <= this.#statedAt) return;
    } else this.#statedAt = this.clock.now();
    this.#set(perSecond);
  }

  /**
   * Applies a limit that the instance stated to another process, until an answer reaches this one. A
   * process that has just started would otherwise fill all slots before the first answer tells it.
   */
  adopt(perSecond: number): void {
    if (!this.#hasAnswer && this.#perSecond === Infinity) this.#set(perSecond);
  }

  /** Forgets the limit, for a new run of the instance. */
  reset(): void {
    this.#hasAnswer = false;
    this.#set(Infinity);
  }

  get #intervalMs(): number {
    return MS_PER_SECOND / this.applied;
  }

  /** A limit that is new begins without tokens: the requests sent just before count towards it. */
  #set(perSecond: number): void {
    if (this.#perSecond === Infinity) {
      this.#tokens = 0;
      this.#refilledAt = this.clock.now();
    } else this.#refill();
    this.#perSecond = perSecond;
    this.#report(perSecond);
  }

  #refill(): void {
    const now = this.clock.now();
    const burst = Math.max(1, BURST_MS / this.#intervalMs);
    const gained = (now - this.#refilledAt) / this.#intervalMs;
    this.#tokens = Math.min(burst, this.#tokens + gained);
    this.#refilledAt = now;
  }

  #report(perSecond: number): void {
    const before = this.#reported;
    if (before === perSecond) return;
    if (Number.isFinite(before) && Math.abs(perSecond - before) <= before * REPORTED_CHANGE) return;
    this.#reported = perSecond;
    this.onChange(perSecond);
  }
}

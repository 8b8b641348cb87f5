/** Adapts the number of requests in flight at an upstream instance to what it can actually handle. */
import { type Clock } from '../runtime/clock.js';

/** Slots at the beginning of a slow start. */
const INITIAL_SLOTS = 4;
const MIN_SLOTS = 1;
/**
 * Decreases stop at this share of the announced slots. Fewer slots than the instance can handle
 * refuse requests that it could serve, while the instance itself refuses what it cannot handle.
 */
const MIN_SLOTS_SHARE = 0.5;
/** Factor by which the slots shrink after the instance has shed a request, or became slow. */
const SHED_FACTOR = 0.7;
const LATENCY_FACTOR = 0.9;
/**
 * Ratio of the latest latency to the long-run average above which requests are taken to queue
 * inside the instance. A lower ratio may just as well come from a mix of short and long requests,
 * or from slow answers to calls that the instance makes.
 */
const MAX_LATENCY_RATIO = 3;
/** Number of answers over which the latest latency is averaged. */
const WINDOW_ANSWERS = 32;
/** Weight of a window in the long-run average when the latency rises, and when it falls. */
const RISE_WEIGHT = 0.05;
const FALL_WEIGHT = 0.3;
/**
 * Share of refusals since the last decrease above which that decrease was ineffective: an instance
 * that can handle fewer requests than it announced accepts nearly all that stay below its capacity.
 */
const INEFFECTIVE_REFUSAL_SHARE = 0.25;
/** Number of requests since the last decrease that are needed to tell. */
const MIN_SAMPLES = 8;
/** How long refusals do not shrink the slots after an ineffective decrease, in milliseconds. */
const IGNORE_REFUSALS_MS = 10_000;
/** Minimum time between two decreases, in milliseconds. */
const MIN_DECREASE_INTERVAL_MS = 50;

/**
 * Additive increase, multiplicative decrease (AIMD) up to the announced slots. An instance may
 * announce more slots than it can handle; the excess would queue inside it, where a request can
 * neither be refused in time nor be sent elsewhere. After a cold start the slots double with each
 * round of answers.
 */
export class AdaptiveSlots {
  #slots: number;

  #ceiling: number;

  /** Whether no decrease has been needed since the cold start. */
  #isSlowStart = true;

  /** Instant until which the last decrease covers all requests that were in flight at the time. */
  #noDecreaseUntil = 0;

  /** Requests accepted and refused since the last decrease for refusals. */
  #accepted = 0;

  #refused = 0;

  /** Instant until which refusals do not shrink the slots. */
  #ignoreRefusalsUntil = 0;

  #averageMs = 0;

  #windowSumMs = 0;

  #windowSize = 0;

  constructor(
    private readonly clock: Clock,
    ceiling: number,
  ) {
    this.#ceiling = ceiling;
    this.#slots = Math.min(INITIAL_SLOTS, ceiling);
  }

  /** Number of requests that may be in flight now. */
  get current(): number {
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

  /** Resets to a slow start, or to all announced slots if the instance that has started is warm. */
  restart(isWarm = false): void {
    this.#slots = isWarm ? this.#ceiling : Math.min(INITIAL_SLOTS, this.#ceiling);
    this.#isSlowStart = true;
    this.#averageMs = 0;
    this.#windowSize = 0;
    this.#windowSumMs = 0;
  }

  /** Records an answer. `isSaturated` tells whether all slots were taken when its request began. */
  recordAnswer(latencyMs: number, isSaturated: boolean): void {
    this.#accepted += 1;
    this.#windowSumMs += latencyMs;
    this.#windowSize += 1;
    if (this.#windowSize >= WINDOW_ANSWERS) this.#evaluateLatency(isSaturated);
    if (!isSaturated) return;
    const step = this.#isSlowStart ? 1 : 1 / this.#slots;
    this.#slots = Math.min(this.#ceiling, this.#slots + step);
  }

  /**
   * Records that the instance refused a request while most slots were taken. A faulty instance
   * refuses a share of whatever it gets: with half of its slots it would serve half as many
   * requests, and refuse the same share. So a decrease that does not stop the refusals is reverted.
   */
  recordRefusal(latencyMs: number): void {
    this.#refused += 1;
    const now = this.clock.now();
    if (now < this.#noDecreaseUntil || now < this.#ignoreRefusalsUntil) return;
    const samples = this.#accepted + this.#refused;
    const hasDecreased = this.#slots < this.#ceiling && !this.#isSlowStart;
    if (
      hasDecreased &&
      samples >= MIN_SAMPLES &&
      this.#refused > samples * INEFFECTIVE_REFUSAL_SHARE
    ) {
      this.#ignoreRefusalsUntil = now + IGNORE_REFUSALS_MS;
      this.#slots = this.#ceiling;
    } else this.#decrease(SHED_FACTOR, latencyMs);
    this.#accepted = 0;
    this.#refused = 0;
  }

  #evaluateLatency(isSaturated: boolean): void {
    const latestMs = this.#windowSumMs / this.#windowSize;
    this.#windowSumMs = 0;
    this.#windowSize = 0;
    const averageMs = this.#averageMs;
    if (averageMs === 0) {
      this.#averageMs = latestMs;
      return;
    }
    const weight = latestMs < averageMs ? FALL_WEIGHT : RISE_WEIGHT;
    this.#averageMs += (latestMs - averageMs) * weight;
    const hasRisen = latestMs > averageMs * MAX_LATENCY_RATIO;
    if (isSaturated && hasRisen) this.#decrease(LATENCY_FACTOR, latestMs);
  }

  #decrease(factor: number, latencyMs: number): void {
    const floor = Math.max(MIN_SLOTS, this.#ceiling * MIN_SLOTS_SHARE);
    this.#isSlowStart = false;
    const now = this.clock.now();
    if (now < this.#noDecreaseUntil) return;
    this.#noDecreaseUntil = now + Math.max(MIN_DECREASE_INTERVAL_MS, latencyMs);
    this.#slots = Math.min(this.#slots, Math.max(floor, this.#slots * factor));
  }
}

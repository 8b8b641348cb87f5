/** What this process has seen of one endpoint itself. */
import { type Member } from '../contracts.js';
import { type Load } from '../admission/load.js';

/** A latency that has not been seen again for this long counts half, in milliseconds. */
const LATENCY_HALF_LIFE_MS = 10_000;
/** The same for a reported load, which is out of date sooner. */
const LOAD_HALF_LIFE_MS = 500;
/** Share of the slots in use from which an endpoint counts as full: the news of it is late. */
const FULL_SHARE = 0.9;
/** So long a reported load shows that there is no room, in milliseconds: a few slots' worth of work. */
const KNOWN_MS = 250;
/** How much dearer an endpoint is with all its slots in use than with none. */
const FULL_FACTOR = 0.5;
/**
 * Longest that a trial keeps others away, in milliseconds: the time for a connection to stand, and
 * for the far end to say that it has the request.
 */
const TRIAL_MS = 500;
/** Least weight of the newest answer in the moving average. */
const NEWEST_WEIGHT = 0.2;
/**
 * Where nothing is known any more, a little less than what is typical is assumed: were it as much,
 * an endpoint that is not the quickest would never be tried again while the others are idle.
 */
const OPTIMISM = 0.75;
/** An endpoint that has just become ready gets less work at first, for so long. */
const WARM_UP_MS = 10_000;
/** How much dearer it is at the start of that. */
const COLD_FACTOR = 3;

/** What a choice goes by. */
export interface Seen {
  /** Time that one more request is expected to take, in milliseconds. */
  readonly costMs: number;
  readonly inFlight: number;
  readonly slots: number;
  readonly waiting: number;
  /** How old the reported load is, in milliseconds; absent before the first report. */
  readonly loadAgeMs?: number;
}

export class Experience {
  inFlight = 0;

  /** Instant before which it is chosen only if there is no other, in milliseconds. */
  avoidUntil = 0;

  /** Failures since the last answer. */
  failures = 0;

  /** Instant at which it became ready after something else. */
  readySince = 0;

  #latencyMs: number | undefined;

  #latencyAt = 0;

  #load: Load | undefined;

  #loadAt = 0;

  /** Whether the last attempt got no sign of life. */
  #isLost = false;

  /** Until when one request that is under way finds out whether it is reached again. */
  #trialUntil = 0;

  /** Requests sent since the last report. */
  #sentSince = 0;

  constructor(public member: Member) {}

  /** Notes an answer that took `tookMs`, with the load reported on it. */
  answered(answeredMs: number, load: Load | undefined, now: number): void {
    // What a guard says of the time that work takes there holds no time of waiting.
    const tookMs = load && load.heldMs > 0 ? load.heldMs : answeredMs;
    const before = this.#latencyMs;
    // An old average says little: the newest answer counts for what has faded of it.
    const faded = 1 - fading(now - this.#latencyAt, LATENCY_HALF_LIFE_MS);
    const weight = Math.max(NEWEST_WEIGHT, faded);
    this.#latencyMs = before === undefined ? tookMs : before + (tookMs - before) * weight;
    this.#latencyAt = now;
    this.failures = 0;
    this.#found();
    this.reported(load, now);
  }

  reported(load: Load | undefined, now: number): void {
    if (!load) return;
    this.#found();
    this.#load = load;
    this.#loadAt = now;
    this.#sentSince = 0;
  }

  /** Notes that a request goes there, which its next report does not tell of yet. */
  sent(now: number): void {
    this.#sentSince += 1;
    if (this.#isLost) this.#trialUntil = now + TRIAL_MS;
  }

  /** Notes that an attempt got no sign of life. */
  lost(): void {
    this.#isLost = true;
    this.#trialUntil = 0;
  }

  /**
   * Whether others are better asked now. Behind a cut each request waits for a connection that
   * will not stand; so after a pause only one of them tries, and the rest are spared.
   */
  isAvoided(now: number): boolean {
    return this.avoidUntil > now || this.#trialUntil > now;
  }

  /**
   * Whether not even a last resort: it was not reached a moment ago, and answers no heartbeats
   * either. Without the second sign it may have been the loss of a packet.
   */
  isHopeless(now: number): boolean {
    return this.#isLost && this.isAvoided(now) && this.member.liveness !== 'alive';
  }

  #found(): void {
    this.#isLost = false;
    this.#trialUntil = 0;
  }

  /** Whether requests wait there, or will soon; heavy answers also wait for the link. */
  isSaturated(now: number, isHeavy = false): boolean {
    if (!this.#load) return false;
    if (isHeavy && this.#leavingMs(now) > this.#load.heldMs) return true;
    return this.#load.waiting > 0
      ? now - this.#loadAt < LOAD_HALF_LIFE_MS
      : this.#busy(now) >= this.#load.slots * FULL_SHARE;
  }

  /** Whether one more request could be answered by `targetAt`, or at least begin at once. */
  couldServe(targetAt: number, now: number, isHeavy = false): boolean {
    if (!this.#load || now - this.#loadAt > KNOWN_MS) return true;
    const { slots, heldMs } = this.#load;
    if (isHeavy && now + Math.max(heldMs, this.#leavingMs(now)) > targetAt) return false;
    const waiting = this.#busy(now) + 1 - slots;
    return waiting <= 0 || now + heldMs * (1 + waiting / slots) <= targetAt;
  }

  /**
   * Expected time of one more request: the work it waits for, and its own; for a heavy answer also
   * the time until the link is free. What was seen long ago fades into what is typical for the
   * upstream, so that an endpoint that once was slow is tried again.
   */
  cost(typicalMs: number, now: number, isHeavy = false): number {
    const assumed = typicalMs * OPTIMISM;
    const latency = assumed + this.#latencyGap(assumed, now);
    const costMs = this.#occupancy(now) * latency * this.#coldness(now);
    return isHeavy ? costMs + this.#leavingMs(now) : costMs;
  }

  seen(typicalMs: number, now: number): Seen {
    const slots = this.#load?.slots ?? this.member.endpoint?.slots ?? 1;
    return {
      costMs: Math.round(this.cost(typicalMs, now)),
      inFlight: Math.round(this.#busy(now)),
      slots,
      waiting: this.#load?.waiting ?? 0,
      ...(this.#load && { loadAgeMs: Math.round(now - this.#loadAt) }),
    };
  }

  /** What was promised to the link at the last report, less what has left since. */
  #leavingMs(now: number): number {
    return this.#load ? Math.max(0, this.#load.leavingMs - (now - this.#loadAt)) : 0;
  }

  /** Without slots known, all work in flight counts as waited for. */
  #occupancy(now: number): number {
    const busy = this.#busy(now);
    const slots = this.#load?.slots ?? this.member.endpoint?.slots ?? 1;
    const waiting = Math.max(0, busy + 1 - slots);
    return 1 + FULL_FACTOR * Math.min(1, busy / slots) + waiting / slots;
  }

  #latencyGap(assumed: number, now: number): number {
    if (this.#latencyMs === undefined) return 0;
    return (this.#latencyMs - assumed) * fading(now - this.#latencyAt, LATENCY_HALF_LIFE_MS);
  }

  /** The reported load counts the work of all others too, but only for a moment. */
  #busy(now: number): number {
    if (!this.#load) return this.inFlight;
    const reported = this.#load.inFlight + this.#load.waiting + this.#sentSince;
    return Math.max(this.inFlight, reported * fading(now - this.#loadAt, LOAD_HALF_LIFE_MS));
  }

  #coldness(now: number): number {
    const age = now - this.readySince;
    return age >= WARM_UP_MS ? 1 : 1 + (COLD_FACTOR - 1) * (1 - age / WARM_UP_MS);
  }
}

function fading(age: number, halfLife: number): number {
  return 2 ** (-age / halfLife);
}

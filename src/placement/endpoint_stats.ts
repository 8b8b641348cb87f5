/** Statistics of this process on one endpoint, and the expected cost of a request to it. */
import { type Member } from '../contracts.js';
import { type Load } from '../admission/load.js';
import { expectedFactor, slowedMs, usualMs } from '../admission/slowness.js';

/** Half-life of an observed latency without new answers, in milliseconds. */
const LATENCY_HALF_LIFE_MS = 10_000;
/** Half-life of a reported load, which is outdated sooner, in milliseconds. */
const LOAD_HALF_LIFE_MS = 500;
/** Share of slots in use from which an endpoint counts as full; below 1, as load reports are delayed. */
const FULL_SHARE = 0.9;
/** How long a reported load can rule an endpoint out, in milliseconds: the duration of a few jobs. */
const LOAD_VALID_MS = 250;
/** Added to the cost factor of an endpoint when all its slots are in use. */
const FULL_COST_FACTOR = 0.5;
/**
 * Maximum time for which a probe keeps other requests away, in milliseconds: enough to open a
 * connection, and for the other end to acknowledge the request.
 */
const PROBE_MS = 500;
/** Minimum weight of the newest answer in the average latency. */
const MIN_NEWEST_WEIGHT = 0.2;
/**
 * Factor on the typical latency of the upstream, assumed for an endpoint without recent answers.
 * With a factor of 1 an endpoint that is not the fastest would never be tried again while the
 * others are idle.
 */
const OPTIMISM = 0.75;
/** How long an endpoint gets fewer requests after it became ready, in milliseconds. */
const WARM_UP_MS = 10_000;
/** Cost factor of an endpoint at the beginning of that time. */
const COLD_COST_FACTOR = 3;
const MS_PER_SECOND = 1_000;

/** The figures on which a choice is based. */
export interface EndpointSnapshot {
  /** Expected time of one more request, in milliseconds. */
  readonly costMs: number;
  readonly inFlight: number;
  readonly slots: number;
  readonly waiting: number;
  /** Expected wait for the rate limit, in milliseconds; absent without a wait. */
  readonly rateWaitMs?: number;
  /** Age of the reported load, in milliseconds; absent before the first report. */
  readonly loadAgeMs?: number;
  /** How slow its machine is expected to be now; absent if it does not state that. */
  readonly slowness?: number;
}

export class EndpointStats {
  inFlight = 0;

  /** Instant before which it is chosen only if there is no other, in milliseconds since the epoch. */
  avoidUntil = 0;

  /** Consecutive failures since the last successful answer. */
  failures = 0;

  /** Instant at which it became ready; 0 if it was ready when this process started. */
  readySince = 0;

  #latencyMs: number | undefined;

  #latencyAt = 0;

  #load: Load | undefined;

  #loadAt = 0;

  /** Whether the last attempt did not reach it. */
  #isUnreachable = false;

  /** Until when one request in flight probes whether it can be reached again. */
  #probeUntil = 0;

  /** Requests sent since the last load report. */
  #sentSinceReport = 0;

  constructor(public member: Member) {}

  /** Records an answer that took `answeredMs` to begin, with the load that it reported. */
  recordAnswer(answeredMs: number, load: Load | undefined, now: number): void {
    // The duration that a guard reports does not include the time for which requests wait there.
    const usualAnsweredMs = usualMs(answeredMs, expectedFactor(load?.slowness));
    const tookMs = load && load.heldMs > 0 ? load.heldMs : usualAnsweredMs;
    const before = this.#latencyMs;
    // The newest answer replaces the part of the average that has decayed.
    const newestShare = 1 - decay(now - this.#latencyAt, LATENCY_HALF_LIFE_MS);
    const weight = Math.max(MIN_NEWEST_WEIGHT, newestShare);
    this.#latencyMs = before === undefined ? tookMs : before + (tookMs - before) * weight;
    this.#latencyAt = now;
    this.failures = 0;
    this.#recordReachable();
    this.recordLoad(load, now);
  }

  recordLoad(load: Load | undefined, now: number): void {
    if (!load) return;
    this.#recordReachable();
    this.#load = load;
    this.#loadAt = now;
    this.#sentSinceReport = 0;
  }

  /** Records a request that is sent now, and that reported loads do not include yet. */
  recordSent(now: number): void {
    this.#sentSinceReport += 1;
    if (this.#isUnreachable) this.#probeUntil = now + PROBE_MS;
  }

  /** Records that an attempt did not reach the endpoint. */
  recordUnreachable(): void {
    this.#isUnreachable = true;
    this.#probeUntil = 0;
  }

  /**
   * Whether other endpoints are preferred now. During a network partition each request would wait
   * for a connection that is never established, so after a pause a single request probes it.
   */
  isAvoided(now: number): boolean {
    return this.avoidUntil > now || this.#probeUntil > now;
  }

  /**
   * Whether it must not be chosen even if there is no other: the last attempt did not reach it, and
   * it answers no heartbeats. A failed attempt alone may come from a lost packet.
   */
  isUnreachable(now: number): boolean {
    return this.#isUnreachable && this.isAvoided(now) && this.member.liveness !== 'alive';
  }

  #recordReachable(): void {
    this.#isUnreachable = false;
    this.#probeUntil = 0;
  }

  /** Whether requests wait there, or will soon; large answers also wait for the uplink. */
  isSaturated(now: number, isLarge = false): boolean {
    if (!this.#load) return false;
    if (this.#rateWaitMs(now) > 0) return true;
    if (isLarge && this.#uplinkBacklogMs(now) > this.#load.heldMs) return true;
    return this.#load.waiting > 0
      ? now - this.#loadAt < LOAD_HALF_LIFE_MS
      : this.#estimatedInFlight(now) >= this.#load.slots * FULL_SHARE;
  }

  /** Whether one more request could be answered by `targetAt`, or at least start at once. */
  canServe(targetAt: number, now: number, isLarge = false): boolean {
    if (!this.#load) return true;
    const { slots } = this.#load;
    const factor = this.#slowness(now);
    const heldMs = slowedMs(this.#load.heldMs, factor);
    const rateWaitMs = this.#rateWaitMs(now);
    if (rateWaitMs > 0 && now + rateWaitMs + heldMs > targetAt) return false;
    if (now - this.#loadAt > LOAD_VALID_MS) return true;
    if (isLarge && now + Math.max(heldMs, this.#uplinkBacklogMs(now)) > targetAt) return false;
    const waiting = this.#estimatedInFlight(now) + 1 - slots;
    if (waiting <= 0) return true;
    return now + slowedMs(this.#load.heldMs * (1 + waiting / slots), factor) <= targetAt;
  }

  /**
   * Expected time of one more request, in milliseconds: its wait and its own duration, the wait for
   * the rate limit, and for a large answer also the time until the uplink is free. An old latency
   * decays to the one that is typical of the upstream, so that an endpoint that was slow once is tried
   * again. Latencies are those at the usual speed of its machine, to which the slowness is applied.
   */
  cost(typicalMs: number, now: number, isLarge = false): number {
    const assumed = typicalMs * OPTIMISM;
    const latency = assumed + this.#latencyGap(assumed, now);
    const workMs = this.#occupancyFactor(now) * latency * this.#warmUpFactor(now);
    const costMs = slowedMs(workMs, this.#slowness(now)) + this.#rateWaitMs(now);
    return isLarge ? costMs + this.#uplinkBacklogMs(now) : costMs;
  }

  snapshot(typicalMs: number, now: number): EndpointSnapshot {
    const slots = this.#load?.slots ?? this.member.endpoint?.slots ?? 1;
    const rateWaitMs = Math.round(this.#rateWaitMs(now));
    return {
      costMs: Math.round(this.cost(typicalMs, now)),
      inFlight: Math.round(this.#estimatedInFlight(now)),
      slots,
      waiting: this.#load?.waiting ?? 0,
      ...(rateWaitMs > 0 && { rateWaitMs }),
      ...(this.#load && { loadAgeMs: Math.round(now - this.#loadAt) }),
      ...(this.#load?.slowness && { slowness: rounded(this.#slowness(now)) }),
    };
  }

  /**
   * Expected wait for the rate limit, in milliseconds. Requests sent since the last report come
   * first; those of other processes are unknown, and the next report tells of them.
   */
  #rateWaitMs(now: number): number {
    if (!this.#load?.rate) return 0;
    const { perSecond, waitMs } = this.#load.rate;
    const reportedMs = waitMs + (this.#sentSinceReport * MS_PER_SECOND) / perSecond;
    return Math.max(0, reportedMs - (now - this.#loadAt));
  }

  /** Factor by which work is expected to take longer than usual on its machine. */
  #slowness(now: number): number {
    return expectedFactor(this.#load?.slowness, now - this.#loadAt);
  }

  /** Remaining part of the uplink backlog of the last report, in milliseconds. */
  #uplinkBacklogMs(now: number): number {
    return this.#load ? Math.max(0, this.#load.leavingMs - (now - this.#loadAt)) : 0;
  }

  /** Cost factor for requests in flight; without known slots one slot is assumed. */
  #occupancyFactor(now: number): number {
    const busy = this.#estimatedInFlight(now);
    const slots = this.#load?.slots ?? this.member.endpoint?.slots ?? 1;
    const waiting = Math.max(0, busy + 1 - slots);
    return 1 + FULL_COST_FACTOR * Math.min(1, busy / slots) + waiting / slots;
  }

  #latencyGap(assumed: number, now: number): number {
    if (this.#latencyMs === undefined) return 0;
    return (this.#latencyMs - assumed) * decay(now - this.#latencyAt, LATENCY_HALF_LIFE_MS);
  }

  /** The reported load includes the requests of other processes, but is valid for a short time only. */
  #estimatedInFlight(now: number): number {
    if (!this.#load) return this.inFlight;
    const reported = this.#load.inFlight + this.#load.waiting + this.#sentSinceReport;
    return Math.max(this.inFlight, reported * decay(now - this.#loadAt, LOAD_HALF_LIFE_MS));
  }

  #warmUpFactor(now: number): number {
    const age = now - this.readySince;
    return age >= WARM_UP_MS ? 1 : 1 + (COLD_COST_FACTOR - 1) * (1 - age / WARM_UP_MS);
  }
}

/** Rounded to two decimal places. */
function rounded(factor: number): number {
  return Math.round(factor * 100) / 100;
}

function decay(age: number, halfLife: number): number {
  return 2 ** (-age / halfLife);
}

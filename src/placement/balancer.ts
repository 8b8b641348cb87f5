/** Load balancing between the endpoints of an upstream. */
import { type OutcomeError } from '../contracts.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { EndpointStats, type EndpointSnapshot } from './endpoint_stats.js';
import { type Load } from '../admission/load.js';
import { expectedFactor, usualMs } from '../admission/slowness.js';
import { type VersionRoles, AllStable } from './version_roles.js';
import { INITIAL_LATENCY_MS, type EndpointGroup, EndpointGroups } from './endpoint_groups.js';
import { chooseOnTrial, TrialScheduler } from './trial_endpoints.js';

/** Weight of the newest answer in the average latency of an upstream. */
const NEWEST_WEIGHT = 0.05;
/** Maximum time for which an endpoint is avoided after it shed a request, in milliseconds. */
const MAX_SHED_AVOID_MS = 100;
/**
 * Time for which an endpoint that is unreachable or fails is avoided at first, in milliseconds; it
 * doubles with each further failure.
 */
const INITIAL_AVOID_MS = 500;
/**
 * Maximum for unreachable endpoints, in milliseconds. It is short, as a single request probes the
 * endpoint then, and traffic should return soon after a network partition ends.
 */
const MAX_UNREACHABLE_AVOID_MS = 2_000;
/** Maximum for endpoints that fail requests, in milliseconds: each probe is one more failed request. */
const MAX_OUTLIER_AVOID_MS = 30_000;
/** Number of consecutive failures that make an endpoint an outlier. */
const OUTLIER_FAILURES = 5;
const MAX_DOUBLINGS = 10;
const NONE_TRIED: ReadonlySet<EndpointStats> = new Set();

/**
 * Power of two random choices. The cost of an endpoint is its requests in flight times its latency,
 * both as observed by this process: the load that an endpoint reports is delayed or misleading, so
 * it counts for a short time only. Endpoints of the local data centre are preferred; others are
 * chosen if no local one is available, or if the local one is saturated and would be slower.
 */
export class Balancer {
  readonly #groups: EndpointGroups;

  readonly #trialScheduler: TrialScheduler;

  constructor(
    roster: Roster,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly roles: VersionRoles = new AllStable(),
  ) {
    this.#groups = new EndpointGroups(roster, roles, clock);
    this.#trialScheduler = new TrialScheduler(random);
  }

  /** Chooses the endpoint of a first attempt; a share of these goes to the version on trial. */
  first(upstream: string, route: string, awayMs = 0): EndpointStats | undefined {
    return this.#chooseOnTrial(upstream, route) ?? this.choose(upstream, NONE_TRIED, awayMs);
  }

  #chooseOnTrial(upstream: string, route: string): EndpointStats | undefined {
    const group = this.#groups.of(upstream);
    if (!group || group.trial.length === 0) return undefined;
    const now = this.clock.now();
    const stable = group.local.length + group.remote.length;
    const share = this.roles.trialShare(upstream, stable, now);
    if (!this.#trialScheduler.next(route, share.share)) return undefined;
    return chooseOnTrial(group.trial, share, this.random, now);
  }

  /**
   * Chooses an endpoint of `upstream` other than those tried; undefined if there is none. With a
   * local endpoint available, another data centre is chosen only if it is expected to answer sooner
   * by more than `awayMs`, which is above 0 for large answers.
   */
  choose(
    upstream: string,
    tried: ReadonlySet<EndpointStats>,
    awayMs = 0,
  ): EndpointStats | undefined {
    const group = this.#groups.of(upstream);
    if (!group) return undefined;
    const now = this.clock.now();
    const isLarge = awayMs > 0;
    const local = this.#pickBetter(group.local, group, tried, now, isLarge);
    if (local && !local.isSaturated(now, isLarge)) return local;
    const remote = this.#pickBetter(group.remote, group, tried, now, isLarge);
    if (local && remote) {
      const { typicalMs } = group;
      const remoteMs = remote.cost(typicalMs, now, isLarge) + awayMs;
      return remoteMs < local.cost(typicalMs, now, isLarge) ? remote : local;
    }
    return (
      local ??
      remote ??
      leastAvoided(group.local, tried, now) ??
      leastAvoided(group.remote, tried, now)
    );
  }

  /**
   * Chooses another endpoint for a request that was just refused for lack of capacity; undefined if
   * none is believed to have some. Under overload each further refusal costs two processes time in
   * which they could have answered, and traffic between data centres.
   */
  chooseAlternative(
    upstream: string,
    tried: ReadonlySet<EndpointStats>,
    targetAt: number,
    isLarge = false,
  ): EndpointStats | undefined {
    const group = this.#groups.of(upstream);
    if (!group) return undefined;
    const now = this.clock.now();
    const cannotServe = (member: EndpointStats) =>
      tried.has(member) || !member.canServe(targetAt, now, isLarge);
    const excluded = new Set([...group.local, ...group.remote].filter(cannotServe));
    return (
      this.#pickBetter(group.local, group, excluded, now, isLarge) ??
      this.#pickBetter(group.remote, group, excluded, now, isLarge)
    );
  }

  /** The figures on which a choice of `endpoint` is based, for the logs. */
  snapshotOf(endpoint: EndpointStats): EndpointSnapshot {
    const typicalMs = this.#groups.of(endpoint.member.endpoint?.upstream ?? '')?.typicalMs;
    return endpoint.snapshot(typicalMs ?? INITIAL_LATENCY_MS, this.clock.now());
  }

  /**
   * Records an answer that took `tookMs` to begin. The latency of failures is not recorded, so that
   * an endpoint that fails quickly does not look fast.
   */
  recordAnswer(
    chosen: EndpointStats,
    tookMs: number,
    load: Load | undefined,
    isFailure: boolean,
  ): void {
    const now = this.clock.now();
    if (isFailure) {
      chosen.recordLoad(load, now);
      this.#recordFailure(chosen, OUTLIER_FAILURES, MAX_OUTLIER_AVOID_MS, now);
      return;
    }
    chosen.recordAnswer(tookMs, load, now);
    const group = this.#groups.of(chosen.member.endpoint?.upstream ?? '');
    if (!group) return;
    const usuallyMs = usualMs(tookMs, expectedFactor(load?.slowness));
    group.typicalMs += (usuallyMs - group.typicalMs) * NEWEST_WEIGHT;
  }

  /** Records a refusal, or that the endpoint could not be reached, so that it is avoided for a while. */
  recordRefusal(chosen: EndpointStats, { reason }: OutcomeError, load: Load | undefined): void {
    const now = this.clock.now();
    chosen.recordLoad(load, now);
    if (reason === 'unreachable' || reason === 'unacknowledged') {
      chosen.recordUnreachable();
      this.#recordFailure(chosen, 1, MAX_UNREACHABLE_AVOID_MS, now);
    } else if (reason === 'connection' || reason === 'silent') {
      this.#recordFailure(chosen, OUTLIER_FAILURES, MAX_OUTLIER_AVOID_MS, now);
    } else if (reason === 'draining' || reason === 'no-endpoint') {
      // The membership update that tells so has not arrived here yet.
      chosen.avoidUntil = now + INITIAL_AVOID_MS;
    } else if (reason === 'shed' || (reason === 'overloaded' && !load)) {
      // With a load report the endpoint is not avoided, as the report decides: it may refuse a late
      // request and still have capacity for one that can be in time.
      this.recordShed(chosen);
    }
  }

  /** Records that the upstream instance is leaving; a membership update will tell so, too. */
  recordLeaving(chosen: EndpointStats): void {
    chosen.avoidUntil = Math.max(chosen.avoidUntil, this.clock.now() + INITIAL_AVOID_MS);
  }

  /** Records that the upstream instance shed a request for lack of capacity. */
  recordShed(chosen: EndpointStats): void {
    const until = this.clock.now() + this.random.jitter(MAX_SHED_AVOID_MS);
    chosen.avoidUntil = Math.max(chosen.avoidUntil, until);
  }

  #recordFailure(chosen: EndpointStats, tolerated: number, maxMs: number, now: number): void {
    chosen.failures += 1;
    const doublings = Math.min(MAX_DOUBLINGS, chosen.failures - tolerated);
    if (doublings < 0) return;
    const longest = Math.min(maxMs, INITIAL_AVOID_MS * 2 ** doublings);
    // Jitter on one half only: with full jitter some processes would try again at once.
    chosen.avoidUntil = now + longest / 2 + this.random.jitter(longest / 2);
  }

  /** The one with the lower cost of two random endpoints that are available now. */
  #pickBetter(
    members: readonly EndpointStats[],
    { typicalMs }: EndpointGroup,
    tried: ReadonlySet<EndpointStats>,
    now: number,
    isLarge: boolean,
  ): EndpointStats | undefined {
    const first = this.#pickAvailable(members, tried, now, undefined);
    if (!first || members.length === 1) return first;
    const second = this.#pickAvailable(members, tried, now, first);
    if (!second) return first;
    const firstMs = first.cost(typicalMs, now, isLarge);
    return second.cost(typicalMs, now, isLarge) < firstMs ? second : first;
  }

  /** The first available endpoint from a random position, except `other`. */
  #pickAvailable(
    members: readonly EndpointStats[],
    tried: ReadonlySet<EndpointStats>,
    now: number,
    other: EndpointStats | undefined,
  ): EndpointStats | undefined {
    if (members.length === 0) return undefined;
    const start = this.random.below(members.length);
    for (let step = 0; step < members.length; step++) {
      const member = members[(start + step) % members.length]!;
      if (member === other || member.isAvoided(now) || tried.has(member)) continue;
      if (member.member.liveness === 'alive') return member;
    }
    return undefined;
  }
}

/** The endpoint that is avoided for the shortest time: when all are, it is better than no attempt. */
function leastAvoided(
  members: readonly EndpointStats[],
  tried: ReadonlySet<EndpointStats>,
  now: number,
): EndpointStats | undefined {
  return members.reduce<EndpointStats | undefined>((best, member) => {
    if (tried.has(member) || member.isUnreachable(now)) return best;
    return best && best.avoidUntil <= member.avoidUntil ? best : member;
  }, undefined);
}

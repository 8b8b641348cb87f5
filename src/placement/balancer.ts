/** Chooses among the endpoints of an upstream. */
import { type OutcomeError } from '../contracts.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { Experience, type Seen } from './experience.js';
import { type Load } from '../admission/load.js';
import { type Cohorts, OneCohort } from './cohorts.js';
import { FIRST_GUESS_MS, type Group, Groups } from './groups.js';
import { onTrial, TrialDeals } from './trial_group.js';

/** Weight of the newest answer in the average over the upstream. */
const NEWEST_WEIGHT = 0.05;
/** An endpoint that refused for lack of room is avoided for up to this long, in milliseconds. */
const OVERLOADED_MS = 100;
/** One that could not be reached, or fails, is left alone for so long the first time; it doubles. */
const UNREACHABLE_MS = 500;
/** At most, if it could not be reached: a single request tries then, and a cut ends at once. */
const UNREACHABLE_MAX_MS = 2_000;
/** At most, if it fails what it is sent: each request that tries is one more failure. */
const OUTLIER_MAX_MS = 30_000;
/** So many failed answers in a row make an outlier. */
const OUTLIER_FAILURES = 5;
const MAX_DOUBLINGS = 10;
const NONE_TRIED: ReadonlySet<Experience> = new Set();

/**
 * Two random choices by in-flight work times latency, both as seen from here: what endpoints
 * report of their load lags or misleads, so it counts for a moment only. The own data centre goes
 * first; others are asked when nobody there can serve, or when requests wait there already.
 */
export class Balancer {
  readonly #groups: Groups;

  readonly #deals: TrialDeals;

  constructor(
    roster: Roster,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly cohorts: Cohorts = new OneCohort(),
  ) {
    this.#groups = new Groups(roster, cohorts, clock);
    this.#deals = new TrialDeals(random);
  }

  /** The endpoint for the first attempt of a request; a share of these goes to a version on trial. */
  first(upstream: string, route: string, awayMs = 0): Experience | undefined {
    return this.#trial(upstream, route) ?? this.choose(upstream, NONE_TRIED, awayMs);
  }

  #trial(upstream: string, route: string): Experience | undefined {
    const group = this.#groups.of(upstream);
    if (!group || group.trial.length === 0) return undefined;
    const now = this.clock.now();
    const stable = group.near.length + group.far.length;
    const share = this.cohorts.trialShare(upstream, stable, now);
    if (!this.#deals.next(route, share.share)) return undefined;
    return onTrial(group.trial, share, this.random, now);
  }

  /**
   * An endpoint that takes work for `upstream`, other than those tried; undefined if none does.
   * Another data centre is asked only if it is expected to answer sooner by more than `awayMs`,
   * which is above 0 for heavy answers.
   */
  choose(upstream: string, tried: ReadonlySet<Experience>, awayMs = 0): Experience | undefined {
    const group = this.#groups.of(upstream);
    if (!group) return undefined;
    const now = this.clock.now();
    const isHeavy = awayMs > 0;
    const near = this.#better(group.near, group, tried, now, isHeavy);
    if (near && !near.isSaturated(now, isHeavy)) return near;
    const far = this.#better(group.far, group, tried, now, isHeavy);
    if (near && far) {
      const { typicalMs } = group;
      const farMs = far.cost(typicalMs, now, isHeavy) + awayMs;
      return farMs < near.cost(typicalMs, now, isHeavy) ? far : near;
    }
    return near ?? far ?? lastResort(group.near, tried, now) ?? lastResort(group.far, tried, now);
  }

  /**
   * Another endpoint for a request that one has just refused for lack of room, if any is believed
   * to have some. Under overload each further refusal costs two processes the time in which they
   * could have answered, and bytes between data centres.
   */
  another(
    upstream: string,
    tried: ReadonlySet<Experience>,
    targetAt: number,
    isHeavy = false,
  ): Experience | undefined {
    const group = this.#groups.of(upstream);
    if (!group) return undefined;
    const now = this.clock.now();
    const useless = (member: Experience) =>
      tried.has(member) || !member.couldServe(targetAt, now, isHeavy);
    const passed = new Set([...group.near, ...group.far].filter(useless));
    return (
      this.#better(group.near, group, passed, now, isHeavy) ??
      this.#better(group.far, group, passed, now, isHeavy)
    );
  }

  /** What a choice of `endpoint` goes by, for the logs. */
  seenOf(endpoint: Experience): Seen {
    const typicalMs = this.#groups.of(endpoint.member.endpoint?.upstream ?? '')?.typicalMs;
    return endpoint.seen(typicalMs ?? FIRST_GUESS_MS, this.clock.now());
  }

  /** Notes an answer, which took `tookMs` to begin. Failures of its own do not make it fast. */
  answered(chosen: Experience, tookMs: number, load: Load | undefined, isFailure: boolean): void {
    const now = this.clock.now();
    if (isFailure) {
      chosen.reported(load, now);
      this.#failed(chosen, OUTLIER_FAILURES, OUTLIER_MAX_MS, now);
      return;
    }
    chosen.answered(tookMs, load, now);
    const group = this.#groups.of(chosen.member.endpoint?.upstream ?? '');
    if (group) group.typicalMs += (tookMs - group.typicalMs) * NEWEST_WEIGHT;
  }

  /** Notes that it refused or could not be reached, so that others are asked for a while. */
  refused(chosen: Experience, { reason }: OutcomeError, load: Load | undefined): void {
    const now = this.clock.now();
    chosen.reported(load, now);
    if (reason === 'unreachable' || reason === 'unacknowledged') {
      chosen.lost();
      this.#failed(chosen, 1, UNREACHABLE_MAX_MS, now);
    } else if (reason === 'connection' || reason === 'silent') {
      this.#failed(chosen, OUTLIER_FAILURES, OUTLIER_MAX_MS, now);
    } else if (reason === 'draining' || reason === 'no-endpoint') {
      // The news of it is still on its way here.
      chosen.avoidUntil = now + UNREACHABLE_MS;
    } else if (reason === 'shed' || (reason === 'overloaded' && !load)) {
      // With a load report the choice goes by that: what is refused to work that is late already
      // may be free for work that can be in time.
      this.shed(chosen);
    }
  }

  /** Notes that the upstream instance had no room for a request. */
  shed(chosen: Experience): void {
    const until = this.clock.now() + this.random.jitter(OVERLOADED_MS);
    chosen.avoidUntil = Math.max(chosen.avoidUntil, until);
  }

  #failed(chosen: Experience, tolerated: number, mostMs: number, now: number): void {
    chosen.failures += 1;
    const doublings = Math.min(MAX_DOUBLINGS, chosen.failures - tolerated);
    if (doublings < 0) return;
    const longest = Math.min(mostMs, UNREACHABLE_MS * 2 ** doublings);
    // Half of it is certain: full jitter would send some callers back at once.
    chosen.avoidUntil = now + longest / 2 + this.random.jitter(longest / 2);
  }

  /** The better of two random ones among those that may be asked now. */
  #better(
    members: readonly Experience[],
    { typicalMs }: Group,
    tried: ReadonlySet<Experience>,
    now: number,
    isHeavy: boolean,
  ): Experience | undefined {
    const first = this.#any(members, tried, now, undefined);
    if (!first || members.length === 1) return first;
    const second = this.#any(members, tried, now, first);
    if (!second) return first;
    const firstMs = first.cost(typicalMs, now, isHeavy);
    return second.cost(typicalMs, now, isHeavy) < firstMs ? second : first;
  }

  /** Walks on from a random place to the first that is willing. */
  #any(
    members: readonly Experience[],
    tried: ReadonlySet<Experience>,
    now: number,
    besides: Experience | undefined,
  ): Experience | undefined {
    if (members.length === 0) return undefined;
    const start = this.random.below(members.length);
    for (let step = 0; step < members.length; step++) {
      const member = members[(start + step) % members.length]!;
      if (member === besides || member.isAvoided(now) || tried.has(member)) continue;
      if (member.member.liveness === 'alive') return member;
    }
    return undefined;
  }
}

/** When all are avoided, one that refused a moment ago is still better than no attempt. */
function lastResort(
  members: readonly Experience[],
  tried: ReadonlySet<Experience>,
  now: number,
): Experience | undefined {
  return members.reduce<Experience | undefined>((best, member) => {
    if (tried.has(member) || member.isHopeless(now)) return best;
    return best && best.avoidUntil <= member.avoidUntil ? best : member;
  }, undefined);
}

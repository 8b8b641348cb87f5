/** Ways to use the slowness that instances state, to compare with the one in use. */
import { ConcurrencyLimiter } from '../../admission/concurrency_limiter.js';
import { type Load } from '../../admission/load.js';
import { SlownessRecord } from '../../admission/slowness_record.js';
import { type OutcomeError } from '../../contracts.js';
import { type Roster } from '../../membership/roster.js';
import { Balancer } from '../../placement/balancer.js';
import { type EndpointStats } from '../../placement/endpoint_stats.js';
import { type Clock } from '../../runtime/clock.js';
import { type Random } from '../../runtime/random.js';
import { CurrentPolicy, type Limiter } from './policy.js';

/** Factor from which an endpoint is avoided, and for how long after each answer that states it. */
const AVOID_FACTOR = 1.5;
const AVOID_MS = 150;

/** As before instances stated it. */
class IgnoringPolicy extends CurrentPolicy {
  override readonly name = 'ignored';

  override limiter(clock: Clock, slots: number): Limiter {
    return warmLimiter(clock, slots, new IgnoredSlowness(clock));
  }
}

class PlacementPolicy extends CurrentPolicy {
  override readonly name = 'placement only';

  override limiter(clock: Clock, slots: number): Limiter {
    return warmLimiter(clock, slots, new NormalizingSlowness(clock));
  }
}

class AdmissionPolicy extends CurrentPolicy {
  override readonly name = 'admission only';

  override balancer(roster: Roster, clock: Clock, random: Random): Balancer {
    return new UnawareBalancer(roster, clock, random);
  }
}

/** In admission as in use; in placement, slow endpoints are avoided instead of costing more. */
class AvoidingPolicy extends CurrentPolicy {
  override readonly name = 'avoided';

  override balancer(roster: Roster, clock: Clock, random: Random): Balancer {
    return new AvoidingBalancer(roster, clock, random);
  }
}

export const SLOWNESS_POLICIES: readonly CurrentPolicy[] = [
  new CurrentPolicy(),
  new IgnoringPolicy(),
  new PlacementPolicy(),
  new AdmissionPolicy(),
  new AvoidingPolicy(),
];

function warmLimiter(clock: Clock, slots: number, slowness: SlownessRecord): Limiter {
  const limit = new ConcurrencyLimiter(clock, slots, undefined, slowness);
  limit.restart(true);
  return limit;
}

class IgnoredSlowness extends SlownessRecord {
  override record(): void {}
}

/** Normalizes durations, but expects the usual ones. */
class NormalizingSlowness extends SlownessRecord {
  override expectedMs(usualMs: number): number {
    return usualMs;
  }
}

class UnawareBalancer extends Balancer {
  override recordAnswer(
    chosen: EndpointStats,
    tookMs: number,
    load: Load | undefined,
    isFailure: boolean,
  ): void {
    super.recordAnswer(chosen, tookMs, withoutSlowness(load), isFailure);
  }

  override recordRefusal(
    chosen: EndpointStats,
    outcome: OutcomeError,
    load: Load | undefined,
  ): void {
    super.recordRefusal(chosen, outcome, withoutSlowness(load));
  }
}

class AvoidingBalancer extends UnawareBalancer {
  readonly #clock: Clock;

  constructor(roster: Roster, clock: Clock, random: Random) {
    super(roster, clock, random);
    this.#clock = clock;
  }

  override recordAnswer(
    chosen: EndpointStats,
    tookMs: number,
    load: Load | undefined,
    isFailure: boolean,
  ): void {
    super.recordAnswer(chosen, tookMs, load, isFailure);
    this.#avoidIfSlow(chosen, load);
  }

  override recordRefusal(
    chosen: EndpointStats,
    outcome: OutcomeError,
    load: Load | undefined,
  ): void {
    super.recordRefusal(chosen, outcome, load);
    this.#avoidIfSlow(chosen, load);
  }

  #avoidIfSlow(chosen: EndpointStats, load: Load | undefined): void {
    const { factor = 1, ageMs = 0 } = load?.slowness ?? {};
    if (factor < AVOID_FACTOR) return;
    const until = this.#clock.now() + AVOID_MS - ageMs;
    chosen.avoidUntil = Math.max(chosen.avoidUntil, until);
  }
}

function withoutSlowness(load: Load | undefined): Load | undefined {
  return load && { ...load, slowness: undefined };
}

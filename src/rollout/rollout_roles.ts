/** Derives the roles of versions from the known orders. */
import { type Rollout } from '../contracts.js';
import { type Roster } from '../membership/roster.js';
import { VersionRoles, type Role, type TrialShare } from '../placement/version_roles.js';
import { type Clock } from '../runtime/clock.js';
import { isRefused, type Orders } from './orders.js';
import { trialEndpointCount, phaseShare } from './steps.js';

/** Versions seen within this time after the first of their upstream were there before, in milliseconds. */
const INITIAL_VERSIONS_MS = 2_000;

/** Compares numbers within versions by their value. */
const VERSION_COLLATOR = new Intl.Collator('en', { numeric: true });

/** The versions of one upstream that this process has seen, with the instant of each. */
interface SeenVersions {
  readonly firstAt: number;
  readonly versions: Map<string, number>;
}

/** A version that appeared beside another, and for which no order is known. */
export interface Newcomer {
  readonly upstream: string;
  readonly version: string;
}

export class RolloutRoles extends VersionRoles {
  readonly #seen = new Map<string, SeenVersions>();

  constructor(
    private readonly orders: Orders,
    private readonly roster: Roster,
    private readonly clock: Clock,
    /** Share of an upstream's requests that a bad version may get, 0 to 1. */
    private readonly allowedShare: number,
  ) {
    super();
    roster.onUpdate((members) => {
      for (const { endpoint } of members) {
        if (endpoint?.version !== undefined)
          this.#recordVersion(endpoint.upstream, endpoint.version);
      }
    });
  }

  get generation(): number {
    return this.orders.generation;
  }

  roleOf(upstream: string, version: string | undefined): Role {
    const order = this.orders.of(upstream);
    if (!order) return this.#isHeldBack(upstream, version) ? 'held' : 'stable';
    if (version === order.version) return roleOfOrdered(order);
    return this.#roleOfOther(order, version);
  }

  trialShare(upstream: string, stable: number, now: number): TrialShare {
    const order = this.orders.of(upstream);
    if (!order) return { share: 0, count: 0, turn: 0 };
    const { share, turn } = phaseShare(order.phase, this.allowedShare, now);
    return { share, turn, count: trialEndpointCount(share, stable) };
  }

  /** Versions for which a reader has to find out whether there is an order. */
  get newcomers(): Newcomer[] {
    return [...this.#seen].flatMap(([upstream, { versions }]) =>
      [...versions.keys()]
        .filter((version) => this.#isNewcomer(upstream, version))
        .map((version) => ({ upstream, version })),
    );
  }

  /** The role of a version other than the ordered one; an endpoint that reports none may run either. */
  #roleOfOther({ upstream, phase, revision }: Rollout, version: string | undefined): Role {
    if (version === undefined) return 'held';
    if (phase === 'promoting') return 'shut';
    if (phase !== 'completed') return this.#isHeldBack(upstream, version) ? 'held' : 'stable';
    const clearedAt = this.orders.clearedAt(upstream, version);
    return clearedAt !== undefined && clearedAt > revision ? 'stable' : 'held';
  }

  /**
   * Endpoints of an ordered version may be known before the order: it is written first, but the
   * platform may be unreachable. A version that appears beside another is held back until its order
   * is known, or a reader has found that there is none.
   */
  #isHeldBack(upstream: string, version: string | undefined): boolean {
    if (version === undefined) return false;
    if (!this.orders.isComplete) return version !== this.#lowestVersion(upstream);
    return this.#isNewcomer(upstream, version);
  }

  #isNewcomer(upstream: string, version: string): boolean {
    const seen = this.#seen.get(upstream);
    const since = seen?.versions.get(version);
    if (!seen || since === undefined || since - seen.firstAt <= INITIAL_VERSIONS_MS) return false;
    if (this.orders.of(upstream)?.version === version) return false;
    return this.orders.clearedAt(upstream, version) === undefined;
  }

  /** The lowest version of an upstream, taken for the old one until the orders are known. */
  #lowestVersion(upstream: string): string | undefined {
    const versions = new Set<string>();
    for (const { endpoint } of this.roster.live()) {
      const isHere = endpoint?.upstream === upstream && endpoint.state === 'ready';
      if (isHere && endpoint.version !== undefined) versions.add(endpoint.version);
    }
    return [...versions].sort(VERSION_COLLATOR.compare)[0];
  }

  #recordVersion(upstream: string, version: string): void {
    const now = this.clock.now();
    const seen = this.#seen.get(upstream) ?? { firstAt: now, versions: new Map<string, number>() };
    this.#seen.set(upstream, seen);
    if (!seen.versions.has(version)) seen.versions.set(version, now);
  }
}

function roleOfOrdered(order: Rollout): Role {
  const { phase } = order;
  if (phase === 'trial' || phase === 'proof') return 'trial';
  return isRefused(order) ? 'shut' : 'stable';
}

/** Gives endpoints their roles by the orders that are known. */
import { type Rollout } from '../contracts.js';
import { type Roster } from '../membership/roster.js';
import { VersionRoles, type Role, type TrialShare } from '../placement/cohorts.js';
import { type Clock } from '../runtime/clock.js';
import { isRefused, type Orders } from './orders.js';
import { countFor, shareOf } from './steps.js';

/** Versions met so soon after the first of an upstream were there before, in milliseconds. */
const ACQUAINT_MS = 2_000;

/** Orders versions that differ in a number by that number. */
const NATURAL = new Intl.Collator('en', { numeric: true });

/** The versions of one upstream that this process has met. */
interface Met {
  readonly firstAt: number;
  readonly versions: Map<string, number>;
}

/** A version that appeared beside another, and of which it is not known whether an order asks for it. */
export interface Newcomer {
  readonly upstream: string;
  readonly version: string;
}

export class Plan extends VersionRoles {
  readonly #met = new Map<string, Met>();

  constructor(
    private readonly orders: Orders,
    private readonly roster: Roster,
    private readonly clock: Clock,
    /** Share of its upstream's requests that a bad version may get. */
    private readonly allowedShare: number,
  ) {
    super();
    roster.onNews((members) => {
      for (const { endpoint } of members) {
        if (endpoint?.version !== undefined) this.#meet(endpoint.upstream, endpoint.version);
      }
    });
  }

  get generation(): number {
    return this.orders.generation;
  }

  roleOf(upstream: string, version: string | undefined): Role {
    const order = this.orders.of(upstream);
    if (!order) return this.#isNewcomer(upstream, version) ? 'held' : 'stable';
    if (version === order.version) return roleOfNew(order);
    return this.#roleOfOther(order, version);
  }

  trialShare(upstream: string, stable: number, now: number): TrialShare {
    const order = this.orders.of(upstream);
    if (!order) return { share: 0, count: 0, turn: 0 };
    const { share, turn } = shareOf(order.phase, this.allowedShare, now);
    return { share, turn, count: countFor(share, stable) };
  }

  /** Versions for which a reader has to find out whether an order asks for them. */
  get newcomers(): Newcomer[] {
    return [...this.#met].flatMap(([upstream, { versions }]) =>
      [...versions.keys()]
        .filter((version) => this.#isUnknown(upstream, version))
        .map((version) => ({ upstream, version })),
    );
  }

  /** Without a version it is not known which one a process has found beside it. */
  #roleOfOther({ upstream, phase, revision }: Rollout, version: string | undefined): Role {
    if (version === undefined) return 'held';
    if (phase === 'promoting') return 'shut';
    if (phase !== 'completed') return this.#isNewcomer(upstream, version) ? 'held' : 'stable';
    const clearedAt = this.orders.clearedAt(upstream, version);
    return clearedAt !== undefined && clearedAt > revision ? 'stable' : 'held';
  }

  /**
   * Endpoints of the version to move to may be known before the order is: it is written first, but the
   * platform may be away. They get nothing until a reader has found that nobody ordered them.
   */
  #isNewcomer(upstream: string, version: string | undefined): boolean {
    if (version === undefined) return false;
    if (!this.orders.isComplete) return version !== this.#oldest(upstream);
    return this.#isUnknown(upstream, version);
  }

  #isUnknown(upstream: string, version: string): boolean {
    const met = this.#met.get(upstream);
    const since = met?.versions.get(version);
    if (!met || since === undefined || since - met.firstAt <= ACQUAINT_MS) return false;
    if (this.orders.of(upstream)?.version === version) return false;
    return this.orders.clearedAt(upstream, version) === undefined;
  }

  /** Until the orders are known, the version with the lowest number is taken for the old one. */
  #oldest(upstream: string): string | undefined {
    const versions = new Set<string>();
    for (const { endpoint } of this.roster.live()) {
      const isHere = endpoint?.upstream === upstream && endpoint.state === 'ready';
      if (isHere && endpoint.version !== undefined) versions.add(endpoint.version);
    }
    return [...versions].sort(NATURAL.compare)[0];
  }

  #meet(upstream: string, version: string): void {
    const now = this.clock.now();
    const met = this.#met.get(upstream) ?? { firstAt: now, versions: new Map<string, number>() };
    this.#met.set(upstream, met);
    if (!met.versions.has(version)) met.versions.set(version, now);
  }
}

function roleOfNew(order: Rollout): Role {
  const { phase } = order;
  if (phase === 'trial' || phase === 'proof') return 'trial';
  return isRefused(order) ? 'shut' : 'stable';
}

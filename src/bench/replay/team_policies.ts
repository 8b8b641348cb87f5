/** The ways to share the slots of an instance between teams that a replay compares. */
import { ConcurrencyLimiter } from '../../admission/concurrency_limiter.js';
import { FairShare, type TeamAccount } from '../../admission/fair_share.js';
import { type Clock } from '../../runtime/clock.js';
import { CurrentPolicy, type Limiter } from './policy.js';

/** The decisions of the current code with another account of what teams use. */
export class SharePolicy extends CurrentPolicy {
  constructor(
    override readonly name: string,
    private readonly sharesOf: (clock: Clock) => FairShare,
  ) {
    super();
  }

  override limiter(clock: Clock, slots: number): Limiter {
    const limit = new ConcurrencyLimiter(clock, slots, this.sharesOf(clock));
    limit.restart(true);
    return limit;
  }
}

/** Knows no team, as the code did before there were any. */
class NoFairShare extends FairShare {
  override get isActive(): boolean {
    return false;
  }
}

/** Orders by virtual time, but refuses only the job that arrives. */
class NoDisplacement extends FairShare {
  override isBelow(): boolean {
    return false;
  }
}

/** Half-life of slot time in a moving average, in milliseconds. */
const HALF_LIFE_MS = 2_000;

/**
 * A moving average of slot time instead of virtual time: use loses half of its weight in each
 * half-life. Weights grow instead of old sums shrinking, which gives the same order.
 */
class MovingAverageShare extends FairShare {
  readonly #startAt: number;

  constructor(clock: Clock) {
    super(clock);
    this.#startAt = clock.now();
  }

  override costOf(slotMs: number): number {
    return super.costOf(slotMs) * 2 ** ((this.clock.now() - this.#startAt) / HALF_LIFE_MS);
  }

  protected override add(account: TeamAccount, cost: number): void {
    account.usedMs += cost;
  }

  override advance(): void {}
}

export const NO_TEAMS = new SharePolicy('no-teams', (clock) => new NoFairShare(clock));

/** Compared on patterns with teams. */
export const TEAM_POLICIES: readonly SharePolicy[] = [
  new SharePolicy('virtual-time', (clock) => new FairShare(clock)),
  new SharePolicy('no-displacement', (clock) => new NoDisplacement(clock)),
  new SharePolicy('moving-average', (clock) => new MovingAverageShare(clock)),
  NO_TEAMS,
];

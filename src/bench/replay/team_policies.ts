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

/** Orders by use, but refuses only the job that arrives. */
class NoDisplacement extends FairShare {
  override isBelow(): boolean {
    return false;
  }
}

/** Slot time by which a team can be behind the one that has most, in milliseconds. */
const MAX_SPREAD_MS = 10_000;

/**
 * Start-time fair queueing: the sum of slot time, without decay. So that a pause earns no credit, a
 * team that asks again has used at least the virtual time, which follows the team that has most.
 */
class VirtualTimeShare extends FairShare {
  #virtualMs = 0;

  override get weight(): number {
    return 1;
  }

  override accountOf(team: string | undefined): TeamAccount {
    const account = super.accountOf(team);
    account.usedMs = Math.max(account.usedMs, this.#virtualMs);
    return account;
  }

  protected override add(account: TeamAccount, cost: number): void {
    super.add(account, cost);
    this.#virtualMs = Math.max(this.#virtualMs, account.usedMs - MAX_SPREAD_MS);
  }
}

export const NO_TEAMS = new SharePolicy('no-teams', (clock) => new NoFairShare(clock));

/** Compared on patterns with teams. */
export const TEAM_POLICIES: readonly SharePolicy[] = [
  new SharePolicy('moving-average', (clock) => new FairShare(clock)),
  new SharePolicy('no-displacement', (clock) => new NoDisplacement(clock)),
  new SharePolicy('virtual-time', (clock) => new VirtualTimeShare(clock)),
  NO_TEAMS,
];

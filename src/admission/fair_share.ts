/**
 * The slot time that each team has used, which decides whose waiting job starts next: start-time
 * fair queueing with equal weights over the teams of one upstream instance.
 */
import { type Clock } from '../runtime/clock.js';

/** A team without a job for this long is forgotten, in milliseconds. */
const FORGET_MS = 10_000;
/** Maximum number of teams without a job that are remembered; the longest idle ones are forgotten first. */
const MAX_TEAMS = 2_000;
/**
 * Slot time by which a team can be ahead of the others at most, in milliseconds. It bounds how long
 * a team is held back for slots that it got by its priority or while nobody else asked.
 */
const MAX_LEAD_MS = 10_000;

/** Cost of a job whose duration is unknown or very short, in milliseconds of slot time. */
const MIN_COST_MS = 1;

/** What a team has used. Jobs without a team share one account. */
export interface TeamAccount {
  /** Slot time of its jobs since it is known, on the scale of virtual time, in milliseconds. */
  usedMs: number;
  /** What it will have used after some of its waiting jobs; see `WaitingQueue`. */
  projectedMs: number;
  /** Jobs that wait or run. */
  jobs: number;
  /** Instant at which it last had a job, in milliseconds since the epoch. */
  lastAt: number;
}

export class FairShare {
  readonly #accounts = new Map<string, TeamAccount>();

  readonly #withoutTeam = newAccount(0, 0);

  /**
   * Virtual time: what the team that waits with the least use has used. A team that asks for the first
   * time, or again after a pause, counts as having used that much, so that pauses earn no credit.
   */
  #virtualMs = 0;

  constructor(protected readonly clock: Clock) {}

  /** Whether any team is remembered; the order of waiting jobs depends on teams only then. */
  get isActive(): boolean {
    return this.#accounts.size > 0;
  }

  get teams(): number {
    return this.#accounts.size;
  }

  /** The account of a team, without recording a job. */
  accountOf(team: string | undefined): TeamAccount {
    this.#forgetIdle();
    const known = team === undefined ? this.#withoutTeam : this.#accounts.get(team);
    if (!known) return newAccount(this.#virtualMs, this.clock.now());
    if (known === this.#withoutTeam && isForgotten(known, this.clock.now())) {
      known.usedMs = this.#virtualMs;
    }
    // A team that pauses falls behind virtual time, which must not become credit.
    known.usedMs = Math.max(known.usedMs, this.#virtualMs);
    return known;
  }

  /** Records that a job of the team waits or runs, until `leave`. */
  join(team: string | undefined): TeamAccount {
    const account = this.accountOf(team);
    account.lastAt = this.clock.now();
    account.jobs += 1;
    if (team === undefined) return account;
    // The table is in the order of last use, so that idle teams are at its front.
    this.#accounts.delete(team);
    this.#accounts.set(team, account);
    if (this.#accounts.size > MAX_TEAMS) this.#boundTable();
    return account;
  }

  leave(account: TeamAccount): void {
    account.jobs -= 1;
    account.lastAt = this.clock.now();
  }

  /** Adds the expected slot time of a job that starts; returns the cost, for `correct`. */
  charge(account: TeamAccount, heldMs: number): number {
    const cost = this.costOf(heldMs);
    this.add(account, cost);
    return cost;
  }

  /** Replaces the cost with which a job was charged by the slot time that it took. */
  correct(account: TeamAccount, cost: number, tookMs: number): void {
    this.add(account, this.costOf(tookMs) - cost);
  }

  /** What slot time used now adds to an account. While durations are unknown, jobs are counted. */
  costOf(slotMs: number): number {
    return Math.max(MIN_COST_MS, slotMs);
  }

  protected add(account: TeamAccount, cost: number): void {
    if (!this.isActive) return;
    account.usedMs = Math.min(account.usedMs + cost, this.#virtualMs + MAX_LEAD_MS);
  }

  /** Whether a team with `usedMs` is below its share compared with one that has `otherMs`. */
  isBelow(usedMs: number, otherMs: number): boolean {
    return usedMs < otherMs;
  }

  /** Moves virtual time forward to what the team that waits with the least use has used. */
  advance(leastUsedMs: number): void {
    this.#virtualMs = Math.max(this.#virtualMs, leastUsedMs);
  }

  #forgetIdle(): void {
    const now = this.clock.now();
    for (const [team, account] of this.#accounts) {
      if (isForgotten(account, now)) this.#accounts.delete(team);
      else if (account.jobs === 0) break;
    }
  }

  #boundTable(): void {
    for (const [team, { jobs }] of this.#accounts) {
      if (this.#accounts.size <= MAX_TEAMS) return;
      if (jobs === 0) this.#accounts.delete(team);
    }
  }
}

function isForgotten({ jobs, lastAt }: TeamAccount, now: number): boolean {
  return jobs === 0 && now - lastAt >= FORGET_MS;
}

/** An account of a team that has used `usedMs` so far. */
export function newAccount(usedMs: number, lastAt: number): TeamAccount {
  return { usedMs, projectedMs: usedMs, jobs: 0, lastAt };
}

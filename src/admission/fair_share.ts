/**
 * The slot time that each team has used lately at one upstream instance, which decides whose waiting
 * job starts next. A moving average, in which use loses half of its weight in each half-life.
 */
import { type Clock } from '../runtime/clock.js';

/** A team without a job for this long is forgotten, in milliseconds. */
const FORGET_MS = 10_000;
/** Maximum number of teams that are remembered without a job; the longest idle ones are forgotten first. */
const MAX_TEAMS = 2_000;
/** Time in which slot time loses half of its weight, in milliseconds. */
const HALF_LIFE_MS = 5_000;
/** Weight at which all sums are scaled down, so that they do not overflow. */
const MAX_WEIGHT = 2 ** 64;
/** Cost of a job whose duration is unknown or very short, in milliseconds of slot time. */
const MIN_COST_MS = 1;

/** What a team has used. Jobs without a team share one account, which is not charged. */
export interface TeamAccount {
  readonly team: string | undefined;
  /**
   * Slot time in milliseconds, each weighted by when it was used: the weight of the present grows
   * instead of that of the past shrinking. Comparable between teams only.
   */
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

  readonly #withoutTeam = newAccount();

  /** Instant at which slot time had a weight of 1, in milliseconds since the epoch. */
  #scaledAt: number;

  constructor(protected readonly clock: Clock) {
    this.#scaledAt = clock.now();
  }

  /** Whether any team is remembered; the order of waiting jobs depends on teams only then. */
  get isActive(): boolean {
    return this.#accounts.size > 0;
  }

  get teams(): number {
    return this.#accounts.size;
  }

  /** The account of a team, without recording a job. */
  accountOf(team: string | undefined): TeamAccount {
    const now = this.clock.now();
    this.#forgetIdle(now);
    if (team === undefined) return this.#withoutTeam;
    return this.#accounts.get(team) ?? newAccount(team);
  }

  /** Records that a job of the team waits or runs, until `leave`. */
  join(team: string | undefined): TeamAccount {
    const account = this.accountOf(team);
    account.jobs += 1;
    this.#touch(account);
    if (this.#accounts.size > MAX_TEAMS) this.#boundTable();
    return account;
  }

  leave(account: TeamAccount): void {
    account.jobs -= 1;
    this.#touch(account);
  }

  /** What a job adds to its account; nothing without a team. */
  chargeOf(account: TeamAccount, slotMs: number, weight = this.weight): number {
    return account === this.#withoutTeam ? 0 : this.costOf(slotMs, weight);
  }

  /** Adds the expected slot time of a job that starts; `correct` follows when it ends. */
  charge(account: TeamAccount, heldMs: number): void {
    this.add(account, this.costOf(heldMs));
  }

  /** Replaces the expected slot time of a job by the time that it took. */
  correct(account: TeamAccount, heldMs: number, tookMs: number): void {
    this.add(account, this.costOf(tookMs) - this.costOf(heldMs));
  }

  /** What slot time adds to an account. While durations are unknown, jobs are counted. */
  costOf(slotMs: number, weight = this.weight): number {
    return Math.max(MIN_COST_MS, slotMs) * weight;
  }

  /** Weight of slot time that is used now. */
  get weight(): number {
    const now = this.clock.now();
    const weight = 2 ** ((now - this.#scaledAt) / HALF_LIFE_MS);
    if (weight <= MAX_WEIGHT) return weight;
    this.#scaledAt = now;
    for (const account of this.#accounts.values()) account.usedMs /= weight;
    return 1;
  }

  /**
   * Whether a team with `usedMs` is below its share compared with one that has `otherMs`. Replays
   * override it.
   */
  isBelow(usedMs: number, otherMs: number): boolean {
    return usedMs < otherMs;
  }

  /**
   * Jobs without a team are not charged, so that they go first among jobs of equal rank. Most are calls
   * that an upstream instance makes for a request that holds a slot already; as one team among many
   * they would wait until that request fails.
   */
  protected add(account: TeamAccount, cost: number): void {
    if (account !== this.#withoutTeam) account.usedMs += cost;
  }

  /** Keeps the table in the order of last use, so that idle teams are at its front. */
  #touch(account: TeamAccount): void {
    const { team } = account;
    account.lastAt = this.clock.now();
    if (team === undefined) return;
    this.#accounts.delete(team);
    this.#accounts.set(team, account);
  }

  #forgetIdle(now: number): void {
    for (const [team, account] of this.#accounts) {
      if (isForgotten(account, now)) this.#accounts.delete(team);
      else if (account.jobs === 0) return;
    }
  }

  #boundTable(): void {
    for (const [team, { jobs }] of this.#accounts) {
      if (this.#accounts.size <= MAX_TEAMS) return;
      if (jobs === 0) this.#accounts.delete(team);
    }
  }
}

/** The account of a team that has used nothing. */
export function newAccount(team?: string): TeamAccount {
  return { team, usedMs: 0, projectedMs: 0, jobs: 0, lastAt: 0 };
}

function isForgotten({ jobs, lastAt }: TeamAccount, now: number): boolean {
  return jobs === 0 && now - lastAt >= FORGET_MS;
}

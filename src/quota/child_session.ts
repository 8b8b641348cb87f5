/** What a process has passed to one child, and what it has from it. */
import { type QuotaReport, type TeamReport } from '../contracts.js';
import { type Rates, RATE_UNITS } from './demand.js';
import { fromUnits, SHARE_MS } from './share.js';
import { type TeamPool } from './team_pool.js';

/** Shares that a child delegates. */
interface Delegation {
  /** Of every team. */
  readonly every: number;
  /** Of single teams, by id. */
  readonly byTeam: ReadonlyMap<number, number>;
  readonly until: number;
  /** Duration from the answer that confirmed it to `until`, from which its age is judged. */
  readonly ttlMs: number;
}

/** What an answer was given to, until the child confirms the answer. */
interface PendingAnswer {
  readonly number: number;
  readonly at: number;
  readonly every: number;
  readonly byTeam: ReadonlyMap<number, number>;
}

const NOTHING: Delegation = { every: 0, byTeam: new Map(), until: 0, ttlMs: 0 };

/** A share leased to a child. */
interface GivenLease {
  /** Upper bound of what the child may believe to hold. */
  committed: number;
  /** What the last answer stated. */
  sent: number;
}

/** Tokens lent to a child, as totals of the session. */
interface Loan {
  granted: number;
  settled: number;
  returned: number;
}

const NO_RATES: Rates = { fast: 0, slow: 0 };
/** Delegations count for passing on until half of their time is over. */
const FRESH_PART = 0.5;
/** The demand that a child has reported counts for this long, in milliseconds. */
const DEMAND_MS = 1_500;
/** A session ends this long after its last report, in milliseconds. */
const SESSION_MS = 10_000;

export class ChildSession {
  /** Number of the last report. */
  number = 0;

  reportedAt = 0;

  /** Reports of the last message by team. */
  readonly teams = new Map<number, TeamReport>();

  readonly loans = new Map<number, Loan>();

  readonly leases = new Map<number, GivenLease>();

  /** Tokens refunded by team, as totals of the session. */
  readonly #refunded = new Map<number, number>();

  #delegation = NOTHING;

  #credit = 0;

  #leasesUntil = 0;

  #loansUntil = 0;

  /** The last answer, which the child has not confirmed yet. */
  #pending: PendingAnswer | undefined;

  /** Whether the child is the root of another data centre. */
  isRemote = false;

  /** Whether a later session of the same instance exists. */
  isSuperseded = false;

  constructor(
    readonly instance: string,
    readonly id: number,
    /** The session before it of the same instance, whose delegation may not have ended yet. */
    private readonly earlier?: ChildSession,
  ) {
    if (earlier) earlier.isSuperseded = true;
  }

  /**
   * Reads a report; returns the share of the start credit that it passes on. Shares that the child
   * delegates may be used only once it has confirmed an answer: from then on it leaves them unused
   * until the stated time after the answer.
   */
  read([, number, heard, ttlMs, , credit, teams]: QuotaReport, now: number): number {
    this.number = number;
    this.reportedAt = now;
    if (this.#pending && heard === this.#pending.number) this.#confirm(ttlMs);
    this.teams.clear();
    for (const team of teams) this.#readTeam(team);
    const passedOn = Math.max(0, fromUnits(credit) - this.#credit);
    this.#credit += passedOn;
    return passedOn;
  }

  /** Notes that the report is answered now, with leases that are valid until `leasesUntil`. */
  answered([, number, , , every]: QuotaReport, leasesUntil: number, now: number): void {
    const byTeam = new Map<number, number>();
    for (const [id, , , , , , , , share] of this.teams.values()) {
      if (share > 0) byTeam.set(id, fromUnits(share));
    }
    this.#pending = { number, at: now, every: fromUnits(every), byTeam };
    this.#leasesUntil = Math.max(this.#leasesUntil, leasesUntil);
    this.#loansUntil = now + SHARE_MS;
  }

  /**
   * Share that the child delegates of a team. The delegation of an earlier run contains the same
   * share, so the larger one counts.
   */
  delegated(id: number, now: number): number {
    const { every, byTeam, until } = this.#delegation;
    const own = now < until ? every + (byTeam.get(id) ?? 0) : 0;
    return Math.max(own, this.earlier?.delegated(id, now) ?? 0);
  }

  /** When the delegation ends, or that of the earlier run if it ends first. */
  delegatedUntil(now: number): number {
    const { until } = this.#delegation;
    const earlier = this.earlier?.delegatedUntil(now) ?? Number.POSITIVE_INFINITY;
    return now < until ? Math.min(until, earlier) : earlier;
  }

  /**
   * Share that the child delegates of every team, and with an id also of that team alone; 0 if it is
   * not recent enough to be passed on.
   */
  freshDelegated(now: number, id?: number): number {
    const { every, byTeam } = this.#delegation;
    if (!this.isFresh(now)) return 0;
    return every + (id === undefined ? 0 : (byTeam.get(id) ?? 0));
  }

  isFresh(now: number): boolean {
    const { until, ttlMs } = this.#delegation;
    return until - now > ttlMs * FRESH_PART;
  }

  /** Share that the child may believe to hold. */
  committed(id: number, now: number): number {
    return now < this.#leasesUntil ? (this.leases.get(id)?.committed ?? 0) : 0;
  }

  /** Leases a share until the end of leases that `answered` states. */
  lease(id: number, share: number): void {
    const lease = this.leases.get(id);
    if (!lease) {
      if (share > 0) this.leases.set(id, { committed: share, sent: share });
      return;
    }
    lease.committed = Math.max(lease.committed, share);
    lease.sent = share;
  }

  /** Requests per second that the child has reported for a team. */
  rates(id: number, now: number): Rates {
    const team = this.teams.get(id);
    if (!team || now - this.reportedAt > DEMAND_MS) return NO_RATES;
    const [, fast, slow] = team;
    return { fast: fast / RATE_UNITS, slow: slow / RATE_UNITS };
  }

  /** Settles the totals of a team's tokens in the last report. */
  settle(pool: TeamPool, [id, , , used, returned, , , , , refunded]: TeamReport): void {
    const refundedBefore = this.#refunded.get(id) ?? 0;
    if (refunded > refundedBefore) {
      this.#refunded.set(id, refunded);
      pool.addRefunded(refunded - refundedBefore);
    }
    const loan = this.loans.get(id);
    if (!loan) return;
    const back = Math.min(Math.max(0, returned - loan.returned), outstanding(loan));
    loan.returned += back;
    pool.takeBack(back);
    const gone = Math.min(Math.max(0, used - loan.settled), outstanding(loan));
    loan.settled += gone;
    pool.settleUsed(gone);
  }

  lend(pool: TeamPool, count: number): number {
    const { id } = pool.limit;
    let loan = this.loans.get(id);
    if (!loan) {
      if (count === 0) return 0;
      loan = { granted: 0, settled: 0, returned: 0 };
      this.loans.set(id, loan);
    }
    loan.granted += count;
    if (count > 0) pool.lend(count);
    return loan.granted;
  }

  /** Writes off the tokens lent to the child if they have expired, because it was silent. */
  writeOffExpired(pools: ReadonlyMap<number, TeamPool>, now: number): void {
    if (now < this.#loansUntil) return;
    for (const [id, loan] of this.loans) {
      const lost = outstanding(loan);
      loan.settled += lost;
      pools.get(id)?.settleUsed(lost);
    }
  }

  isOver(now: number): boolean {
    return now - this.reportedAt > SESSION_MS;
  }

  /**
   * Forgets what the child has delegated, whose end this process's clock has missed. Leases stay
   * committed, because the child may still use them.
   */
  discardDelegation(): void {
    this.#delegation = NOTHING;
    this.#pending = undefined;
  }

  #confirm(ttlMs: number): void {
    const { at, every, byTeam } = this.#pending!;
    this.#delegation = { every, byTeam, until: at + ttlMs, ttlMs };
    this.#pending = undefined;
    for (const [id, lease] of this.leases) {
      lease.committed = lease.sent;
      if (lease.sent === 0) this.leases.delete(id);
    }
  }

  /** A share that the child cannot give back yet stays committed. */
  #readTeam(team: TeamReport): void {
    const [id, , , , , , , inUse] = team;
    this.teams.set(id, team);
    if (inUse === 0) return;
    const lease = this.leases.get(id);
    if (lease) lease.committed = Math.max(lease.committed, fromUnits(inUse));
    else this.leases.set(id, { committed: fromUnits(inUse), sent: 0 });
  }
}

function outstanding({ granted, settled, returned }: Loan): number {
  return granted - settled - returned;
}

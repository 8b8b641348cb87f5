/** The tokens of one team in one process. */
import { Demand } from './demand.js';
import { type TeamLimit } from './team_limit.js';

const MS_PER_SECOND = 1_000;

/** A share that the parent leases to this process. */
interface Lease {
  readonly share: number;
  /** In milliseconds since the epoch, as all instants here. */
  readonly until: number;
}

const NO_LEASE: Lease = { share: 0, until: 0 };

/**
 * Tokens come from two sources: those minted here, from the share that this process holds, and those
 * borrowed from the parent. Minted tokens, here or lent to children, never exceed the share of the
 * capacity; the sum over all processes is therefore at most the capacity of the team.
 */
export class TeamPool {
  readonly demand: Demand;

  /** Tokens minted here; a fraction of a token counts, too. */
  level = 0;

  /** Tokens of the parent, valid until `borrowedUntil`. */
  borrowed = 0;

  borrowedUntil = 0;

  /** Tokens of the parent for requests that wait, which may be spent until `passesUntil` only. */
  passes = 0;

  passesUntil = 0;

  /** Of the minted and of the borrowed tokens, those that children hold. */
  lentMinted = 0;

  lentBorrowed = 0;

  /** Totals of the session with the parent. */
  used = 0;

  returned = 0;

  refunded = 0;

  granted = 0;

  lease = NO_LEASE;

  /** The lease of the parent before, which holds until it ends. */
  earlierLease = NO_LEASE;

  /** Share that this pool mints from, which is certain until `shareUntil`. */
  share = 0;

  shareUntil = 0;

  /** Until when the parent may use the shares that were delegated for this team alone. */
  delegatedUntil = 0;

  /** Until when the team counts as active in another data centre. */
  activeElsewhereUntil = 0;

  /** Until when the parent has no tokens, as far as known. */
  exhaustedUntil = 0;

  /** When the parent expects to have a token again. */
  retryAt = 0;

  /** Whether the parent had no token at the last answer. */
  isScarce = false;

  lastRequestAt = Number.NEGATIVE_INFINITY;

  /** Tokens that children want and did not get. */
  unmetWant = 0;

  admitted = 0;

  refused = 0;

  #mintedAt: number;

  /** Sum of the totals in the last report, and in the last one that was answered. */
  #reportedTotals = 0;

  #confirmedTotals = 0;

  constructor(
    public limit: TeamLimit,
    now: number,
  ) {
    this.demand = new Demand(now);
    this.#mintedAt = now;
  }

  /** Maximum of the minted tokens that are held here. */
  get cap(): number {
    return Math.max(0, this.share * this.limit.capacity - this.lentMinted);
  }

  get mintedPerS(): number {
    return this.share * this.limit.requestsPerSecond;
  }

  /** Whole tokens that can be spent now. */
  available(now: number): number {
    this.mint(now);
    return Math.floor(this.level) + this.borrowed;
  }

  /** Adds what was minted since the last call; nothing for the time after the share has expired. */
  mint(now: number): void {
    const until = Math.min(now, this.shareUntil);
    if (until > this.#mintedAt) {
      this.level += ((until - this.#mintedAt) / MS_PER_SECOND) * this.mintedPerS;
    }
    this.#mintedAt = Math.max(this.#mintedAt, now);
    this.level = Math.min(this.level, this.cap);
    if (this.borrowed > 0 && now >= this.borrowedUntil) this.#drop(this.borrowed);
  }

  /** Replaces the share from now on. */
  setShare(share: number, until: number, now: number): void {
    this.mint(now);
    this.share = share;
    this.shareUntil = until;
    this.level = Math.min(this.level, this.cap);
  }

  /** Spends a token; borrowed ones first, because they count until they are reported as used. */
  spend(now: number): boolean {
    this.mint(now);
    if (this.passes >= 1 && now < this.passesUntil) {
      this.passes -= 1;
      return true;
    }
    if (this.borrowed >= 1) {
      this.borrowed -= 1;
      this.used += 1;
      return true;
    }
    if (this.level < 1) return false;
    this.level -= 1;
    return true;
  }

  /** Lends tokens to a child, minted ones first. */
  lend(count: number): void {
    const minted = Math.min(count, Math.floor(this.level));
    this.level -= minted;
    this.lentMinted += minted;
    this.borrowed -= count - minted;
    this.lentBorrowed += count - minted;
  }

  /** Accounts for tokens of children that are used up or lost. */
  settleUsed(count: number): void {
    const borrowed = Math.min(count, this.lentBorrowed);
    this.lentBorrowed -= borrowed;
    this.used += borrowed;
    this.lentMinted = Math.max(0, this.lentMinted - (count - borrowed));
  }

  /** Takes back unused tokens of children. */
  takeBack(count: number): void {
    const minted = Math.min(count, this.lentMinted);
    this.lentMinted -= minted;
    this.level = Math.min(this.level + minted, this.cap);
    const borrowed = Math.min(count - minted, this.lentBorrowed);
    this.lentBorrowed -= borrowed;
    this.borrowed += borrowed;
  }

  /** Takes back tokens that children had reported as used, for requests that were not run. */
  addRefunded(count: number): void {
    if (this.share > 0) this.level = Math.min(this.level + count, this.cap);
    else this.refunded += count;
  }

  /** Passes that may still be used. */
  validPasses(now: number): number {
    return now < this.passesUntil ? this.passes : 0;
  }

  /** Refunds passes that no request has used in time: the parent counts them as used up. */
  refundExpiredPasses(now: number): void {
    if (now < this.passesUntil) return;
    this.refunded += this.passes;
    this.passes = 0;
  }

  /** Takes over the total of tokens granted in the session. */
  receive(granted: number, until: number): void {
    const added = Math.max(0, granted - this.granted);
    this.granted += added;
    this.borrowed += added;
    this.borrowedUntil = until;
  }

  /** Hands borrowed tokens back with the next report. */
  handBack(count: number): void {
    this.borrowed -= count;
    this.returned += count;
  }

  /** Gives back a token that was spent: to this pool if it mints, to the parent otherwise. */
  refund(now: number): void {
    this.mint(now);
    if (this.share > 0) this.level = Math.min(this.level + 1, this.cap);
    else this.refunded += 1;
  }

  /** Whether the parent may not know the latest totals. */
  get hasUnconfirmedTotals(): boolean {
    return this.#totals !== this.#confirmedTotals;
  }

  get #totals(): number {
    return this.used + this.returned + this.refunded;
  }

  noteReported(): void {
    this.#reportedTotals = this.#totals;
  }

  confirmTotals(): void {
    this.#confirmedTotals = this.#reportedTotals;
  }

  /**
   * Starts a new session. Tokens of the earlier one are discarded, because the new parent does not
   * count them. The lease stays valid until its end: the earlier parent keeps it committed until then,
   * and nothing else could pass before shares are delegated to the new parent.
   */
  resetSession(): void {
    if (this.lease.until > this.earlierLease.until) this.earlierLease = this.lease;
    this.lease = NO_LEASE;
    this.exhaustedUntil = 0;
    this.isScarce = false;
    this.#reportedTotals = 0;
    this.#confirmedTotals = 0;
    this.used = 0;
    this.returned = 0;
    this.refunded = 0;
    this.granted = 0;
    this.lentBorrowed = 0;
    this.borrowed = 0;
    this.passes = 0;
  }

  /** Discards tokens and the lease, after time has passed that the clock did not count. */
  discard(): void {
    this.#drop(this.borrowed);
    this.passes = 0;
    this.level = 0;
    this.lease = NO_LEASE;
    this.earlierLease = NO_LEASE;
    this.share = 0;
  }

  /** Puts another limit in force. A lower one scales down what is held. */
  setLimit(limit: TeamLimit, now: number): void {
    this.mint(now);
    const ratio = Math.min(
      1,
      limit.capacity / this.limit.capacity,
      limit.requestsPerSecond / this.limit.requestsPerSecond,
    );
    this.limit = limit;
    this.level = Math.min(this.level * ratio, this.cap);
    this.#drop(Math.ceil(this.borrowed * (1 - ratio)));
  }

  /** Discards borrowed tokens, which the parent learns as used. */
  #drop(count: number): void {
    this.borrowed -= count;
    this.used += count;
  }
}

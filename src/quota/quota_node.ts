/**
 * The part of one process in the quotas of all teams: decides on requests, and computes reports to
 * the parent and answers to children. It has no input or output of its own.
 */
import {
  type QuotaAnswer,
  type QuotaReport,
  type TeamGrant,
  type TeamReport,
} from '../contracts.js';
import { type Random } from '../runtime/random.js';
import { ChildSession } from './child_session.js';
import { rateOf, type Rates, RATE_UNITS } from './demand.js';
import { type TeamLimit } from './team_limit.js';
import { ParentSession } from './parent_session.js';
import { fromUnits, SHARE_MS, toUnits, toUnitsInUse } from './share.js';
import { TeamPool } from './team_pool.js';

const MS_PER_SECOND = 1_000;
/** Number of processes assumed as long as the roster of a process that has started still grows. */
const ASSUMED_PROCESSES = 64;
/** The roster counts as complete when it has not grown for this long, in milliseconds. */
const SETTLED_MS = 700;
/** The roster may count as growing for this long after the start at most, in milliseconds. */
const START_MS = 5_000;
/** A process that knows no other member for this long after its start is alone, in milliseconds. */
const ALONE_MS = 2_000;
/**
 * How long after its start a process leaves its own share unused, in milliseconds: the parent of its
 * previous run may still use it.
 */
const OWN_SHARE_AFTER_MS = 4_000;
/** The same for a process without a parent, whose previous run most likely had none; in milliseconds. */
const OWN_SHARE_AFTER_AS_LEADER_MS = 1_000;
/**
 * How long after its start a process without a parent in its data centre turns start credit into
 * tokens, in milliseconds.
 */
const CREDIT_AFTER_MS = 300;

/** A process wants tokens for this part of a second of demand. */
const PREFETCH_S = 0.3;
/** A team seen within this time gets a token in stock, in milliseconds. */
const RECENT_MS = 60_000;
/** Processes with a demand below this return tokens of a team that is scarce, in requests per second. */
const FREQUENT_PER_S = 5;
/** Number of reports of a session that are sent at short intervals. */
const JOIN_REPORTS = 4;
/** Part of its capacity that a pool keeps for requests that wait. */
const RESERVE_PART = 0.25;
/** Maximum number of tokens that it keeps for them. */
const MAX_RESERVE = 10;
/** Part of its capacity that a pool lends to children with little demand: what is lent is not minted again. */
const MAX_LENT_PART = 0.35;

/** A lease must be worth this many tokens. */
const MIN_LEASED_TOKENS = 5;
/** An existing lease is kept down to this many. */
const MIN_KEPT_TOKENS = 4;
/** A lease needs this demand, in requests per second. */
const MIN_LEASED_PER_S = 5;
/** An existing lease is kept down to this demand, in requests per second. */
const MIN_KEPT_PER_S = 3;
/**
 * A lease does not change by a smaller part, unless what it gains is idle: what is taken from one
 * child is idle until another has it.
 */
const MIN_LEASE_CHANGE = 0.15;
/** As long as a team is not at its limit, a lease is this much larger than the demand. */
const LEASE_HEADROOM = 1.5;
/** Part of the rate from which on a team counts as at its limit. */
const SATURATED_PART = 0.9;
/** Demand assumed in addition, equal in all data centres, so that few requests do not decide alone. */
const PRIOR_PER_S = 0.5;
/** Requests per second from which on a team counts as active. */
const ACTIVE_PER_S = 0.02;
/** A team that the parent lists counts as active elsewhere for this long, in milliseconds. */
const ACTIVE_ELSEWHERE_MS = 3_000;
/** How long tokens for requests that wait may be used, in milliseconds. */
const PASS_MS = 150;
/** A process with much demand does not ask for this long after an answer without tokens, in milliseconds. */
const SCARCE_MS = 450;
/** A process with little demand does not ask for this long at most, in milliseconds. */
const MAX_BLOCK_MS = 1_000;
/** Part of what a process holds that it is expected to have for children without a lease. */
const MIN_POOL_PART = 0.2;
const MIN_RETRY_MS = 20;
const MAX_RETRY_MS = 30_000;
const MAX_SESSION_ID = 2 ** 32;

/** What this process holds of a team's quota, and until when that is certain. */
interface Holding {
  readonly share: number;
  readonly until: number;
}

/** Why a request may not pass at once. */
export interface Shortage {
  /** When a retry is expected to pass. */
  readonly retryAt: number;
  /** Whether the parent may have a token. */
  readonly mayAsk: boolean;
}

export class QuotaNode {
  readonly pools = new Map<string, TeamPool>();

  readonly #byId = new Map<number, TeamPool>();

  readonly #children = new Map<string, ChildSession>();

  /** Teams with requests here or at a child. */
  #activeIds: number[] = [];

  #session: ParentSession | undefined;

  /** Until when the parent may use the shares of every team that were delegated to it. */
  #delegatedUntil = 0;

  /** Until when an earlier parent may use delegated shares. */
  #delegatedBeforeUntil = 0;

  /** Until when leases of the parent before are valid. */
  #earlierUntil = 0;

  #members = 1;

  #grewAt: number;

  /** Start credit that is not used or passed on yet, as a share. */
  #credit: number | undefined;

  constructor(
    private readonly startedAt: number,
    private readonly random: Random,
  ) {
    this.#grewAt = startedAt;
  }

  /** Whether the process that tokens come from has answered lately; true without such a process. */
  isInContact(now: number): boolean {
    return !this.#session || this.#session.isInContact(now);
  }

  /** Puts the limits of a configuration in force. */
  configure(limits: readonly TeamLimit[], now: number): void {
    const names = new Set(limits.map(({ name }) => name));
    for (const name of this.pools.keys()) if (!names.has(name)) this.pools.delete(name);
    this.#byId.clear();
    for (const limit of limits) {
      const pool = this.pools.get(limit.name);
      if (pool) pool.setLimit(limit, now);
      else this.pools.set(limit.name, new TeamPool(limit, now));
      this.#byId.set(limit.id, this.pools.get(limit.name)!);
    }
    this.refresh(now);
  }

  /** Notes the number of processes among which the quotas are divided. */
  setMembers(members: number, now: number): void {
    if (members > this.#members) this.#grewAt = now;
    this.#members = members;
  }

  /** Notes the parent, by its instance and run; undefined for the leader. */
  setParent(parent: string | undefined, isRemote: boolean, now: number): void {
    const session = this.#session;
    if (session?.parent === parent && !session?.isOver(now)) return;
    if (!session && parent === undefined) return;
    const promised = [...this.pools.values()].map(({ delegatedUntil }) => delegatedUntil);
    this.#delegatedBeforeUntil = Math.max(this.#delegatedUntil, ...promised);
    this.#earlierUntil = Math.max(this.#earlierUntil, session?.until ?? 0);
    const id = this.random.below(MAX_SESSION_ID);
    this.#session = parent === undefined ? undefined : new ParentSession(parent, isRemote, id, now);
    for (const pool of this.pools.values()) {
      pool.mint(now);
      pool.resetSession();
    }
    this.refresh(now);
  }

  /** Brings shares and tokens up to date. */
  refresh(now: number): void {
    for (const [key, child] of this.#children) {
      child.writeOffExpired(this.#byId, now);
      if (child.isOver(now)) this.#children.delete(key);
    }
    this.#useCredit(now);
    this.#activeIds = [];
    for (const [id, pool] of this.#byId) {
      this.#settle(pool, now);
      if (this.demandPerS(pool, now) >= ACTIVE_PER_S) this.#activeIds.push(id);
    }
  }

  /** Discards what other processes count on after a time that the clock did not count. */
  discard(now: number): void {
    for (const pool of this.pools.values()) {
      pool.mint(now);
      pool.discard();
    }
    for (const child of this.#children.values()) child.discardDelegation();
    this.#session?.discard();
    this.refresh(now);
  }

  /** Counts a request of the team; returns why it may not pass, or undefined if it may. */
  take(pool: TeamPool, now: number): Shortage | undefined {
    pool.demand.add(now);
    pool.lastRequestAt = now;
    if (this.spend(pool, now)) return undefined;
    const mayAsk = now >= pool.exhaustedUntil && this.#session?.isInContact(now) === true;
    return { retryAt: this.retryAt(pool, now), mayAsk };
  }

  /** Spends a token of the team if there is one. */
  spend(pool: TeamPool, now: number): boolean {
    if (now >= pool.shareUntil) this.#settle(pool, now);
    if (!pool.spend(now)) return false;
    pool.admitted += 1;
    return true;
  }

  /** When the next token is expected. */
  retryAt(pool: TeamPool, now: number): number {
    const minted = now + this.#nextTokenMs(pool);
    const expected = pool.retryAt > now ? Math.min(minted, pool.retryAt) : minted;
    return Math.max(now + MIN_RETRY_MS, Math.min(expected, now + MAX_RETRY_MS));
  }

  /** When a child may expect a token: leases to other children may end until then. */
  #retryAtChild(pool: TeamPool, now: number): number {
    const { share } = this.#holding(pool, now, false);
    const perS = Math.max(pool.mintedPerS, MIN_POOL_PART * share * pool.limit.requestsPerSecond);
    if (perS === 0)
      return Math.max(now + MS_PER_SECOND, Math.min(pool.retryAt, now + MAX_RETRY_MS));
    const expected = now + ((1 - pool.level) / perS) * MS_PER_SECOND;
    return Math.max(now + MIN_RETRY_MS, Math.min(expected, now + MAX_RETRY_MS));
  }

  refund(pool: TeamPool, now: number): void {
    if (now >= pool.shareUntil) this.#settle(pool, now);
    pool.refund(now);
    pool.admitted -= 1;
  }

  poolOf(id: number): TeamPool | undefined {
    return this.#byId.get(id);
  }

  /** Requests per second that this process lets pass without its parent. */
  offlinePerS(pool: TeamPool, now: number): number {
    let share = this.#ownShare(now);
    for (const child of this.#latestChildren()) share += child.delegated(pool.limit.id, now);
    return Math.min(1, share) * pool.limit.requestsPerSecond;
  }

  /** Requests per second that this process and its children report, or those of its data centre. */
  rates(pool: TeamPool, now: number, isLocalOnly = false): Rates {
    let { fast, slow } = pool.demand.rates(now);
    for (const child of this.#children.values()) {
      if (isLocalOnly && child.isRemote) continue;
      const rates = child.rates(pool.limit.id, now);
      fast += rates.fast;
      slow += rates.slow;
    }
    return { fast, slow };
  }

  demandPerS(pool: TeamPool, now: number): number {
    return rateOf(this.rates(pool, now));
  }

  /** Whether the parent, if it answers, needs a few reports until it can use what is delegated. */
  isJoining(now: number): boolean {
    const session = this.#session;
    return session !== undefined && session.isInContact(now) && session.number < JOIN_REPORTS;
  }

  /** Whether anything has to be reported soon. */
  isActive(now: number): boolean {
    for (const pool of this.pools.values()) if (this.#isListed(pool, now)) return true;
    return false;
  }

  /** The next report to the parent; undefined without one. */
  report(waiting: ReadonlyMap<TeamPool, number>, now: number): QuotaReport | undefined {
    this.refresh(now);
    const session = this.#session;
    if (!session) return undefined;
    const delegates = now >= this.#delegatedBeforeUntil;
    const teams: TeamReport[] = [];
    const delegated: number[] = [];
    for (const pool of this.pools.values()) {
      const waits = Math.max(0, (waiting.get(pool) ?? 0) - pool.validPasses(now));
      if (waits > 0 || this.#isListed(pool, now)) {
        const share = delegates && session.isRemote ? this.#freshBase(now, pool.limit.id) : 0;
        teams.push(this.#teamReport(pool, waits, share, now));
        if (share > 0) delegated.push(pool.limit.id);
      }
    }
    session.number += 1;
    session.delegated = delegated;
    session.listed = teams.map(([id]) => id);
    session.delegableUntil = this.#freshBaseUntil(now);
    session.credit += this.#credit ?? this.#ownShare(now);
    this.#credit = 0;
    const every = delegates && !session.isRemote ? toUnits(this.#freshBase(now)) : 0;
    const { id, number, heard, heardTtlMs, credit } = session;
    return [id, number, heard, heardTtlMs, every, toUnits(credit), teams];
  }

  /** Takes over the answer to a report that was sent at `sentAt`. */
  accept([number, ttlMs, grants]: QuotaAnswer, sentAt: number, now: number): void {
    const session = this.#session;
    if (!session?.expects(number)) return;
    const promisedUntil = session.answered(ttlMs, sentAt, now);
    if (promisedUntil !== undefined) this.#promise(session, promisedUntil, now);
    const byId = new Map(grants.map((grant) => [grant[0], grant]));
    for (const id of new Set([...session.listed, ...byId.keys()])) {
      const pool = this.#byId.get(id);
      if (pool) this.#acceptGrant(pool, byId.get(id), session.until, now);
    }
  }

  /** Whether a request waits at the child for which the parent of this process should be asked. */
  shouldAsk([, , , , , , teams]: QuotaReport, now: number): boolean {
    if (!this.#session?.isInContact(now)) return false;
    return teams.some(([id, , , , , , waits]) => {
      const pool = this.#byId.get(id);
      return (
        pool && waits > pool.available(now) + pool.validPasses(now) && now >= pool.exhaustedUntil
      );
    });
  }

  /** Takes over a report of a child; throws if a later one is known. */
  receive(instance: string, report: QuotaReport, now: number): ChildSession {
    const child = this.#child(instance, report[0]);
    if (report[1] <= child.number) throw new Error('a later report is known');
    this.#addCredit(child.read(report, now), now);
    for (const team of report[6]) {
      const pool = this.#byId.get(team[0]);
      if (pool) {
        pool.mint(now);
        child.settle(pool, team);
      }
    }
    return child;
  }

  /** The answer to a report that was received. */
  answer(child: ChildSession, report: QuotaReport, isRemote: boolean, now: number): QuotaAnswer {
    child.isRemote = isRemote;
    if (report[1] !== child.number) throw new Error('a later report is known');
    const ttlMs = this.#ttlMs(now);
    const ids = new Set([...child.teams.keys(), ...(isRemote ? this.#activeIds : [])]);
    for (const id of child.leases.keys()) if (!ids.has(id)) child.lease(id, 0);
    const grants: TeamGrant[] = [];
    for (const id of ids) {
      const pool = this.#byId.get(id);
      if (pool) grants.push(this.#grant(child, pool, child.teams.get(id), isRemote, now));
    }
    child.answered(report, now + ttlMs, now);
    return [report[1], ttlMs, grants];
  }

  #child(instance: string, id: number): ChildSession {
    const key = `${instance} ${id}`;
    let child = this.#children.get(key);
    if (!child) {
      const earlier = [...this.#children.values()].filter((other) => other.instance === instance);
      child = new ChildSession(instance, id, earlier.at(-1));
      this.#children.set(key, child);
    }
    return child;
  }

  /** The part of every quota that belongs to this process. */
  #ownShare(now: number): number {
    const age = now - this.startedAt;
    if (this.#members <= 1) return age < ALONE_MS ? 1 / ASSUMED_PROCESSES : 1;
    const isGrowing = age < START_MS && now - this.#grewAt < SETTLED_MS;
    return 1 / (isGrowing ? Math.max(this.#members, ASSUMED_PROCESSES) : this.#members);
  }

  #usableOwnShare(now: number): number {
    const waitMs = this.#session ? OWN_SHARE_AFTER_MS : OWN_SHARE_AFTER_AS_LEADER_MS;
    return now - this.startedAt < waitMs ? 0 : this.#ownShare(now);
  }

  /** Shares of this process and of its children that can be delegated to the parent. */
  #freshBase(now: number, id?: number): number {
    let share = this.#ownShare(now);
    for (const child of this.#latestChildren()) share += child.freshDelegated(now, id);
    return Math.min(1, share);
  }

  #freshBaseUntil(now: number): number {
    let until = Number.POSITIVE_INFINITY;
    for (const child of this.#latestChildren()) {
      if (child.isFresh(now)) until = Math.min(until, child.delegatedUntil(now));
    }
    return until;
  }

  /** Number of data centres besides this one whose roots report here. */
  #remoteChildren(now: number): number {
    let count = 0;
    for (const child of this.#latestChildren())
      if (child.isRemote && child.isFresh(now)) count += 1;
    return count;
  }

  *#latestChildren(): Generator<ChildSession> {
    for (const child of this.#children.values()) if (!child.isSuperseded) yield child;
  }

  /** What this process may use and lease of a team; with `isFresh`, only what lasts a while. */
  #holding(
    { limit: { id }, lease, earlierLease, delegatedUntil }: TeamPool,
    now: number,
    isFresh: boolean,
  ): Holding {
    let share = 0;
    let until = Number.POSITIVE_INFINITY;
    if (now >= this.#delegatedUntil && now >= delegatedUntil) {
      share += this.#usableOwnShare(now);
      for (const child of this.#children.values()) {
        const delegated = child.isSuperseded ? 0 : child.delegated(id, now);
        if (delegated > 0 && (!isFresh || child.isFresh(now))) {
          share += delegated;
          until = Math.min(until, child.delegatedUntil(now));
        }
      }
    }
    for (const held of [lease, earlierLease]) {
      if (now < held.until && held.share > 0) {
        share += held.share;
        until = Math.min(until, held.until);
      }
    }
    return { share: Math.min(1, share), until };
  }

  /** Share leased to children, or to roots of other data centres only. */
  #committed({ limit: { id } }: TeamPool, now: number, isRemoteOnly = false): number {
    let share = 0;
    for (const child of this.#children.values()) {
      if (child.isRemote || !isRemoteOnly) share += child.committed(id, now);
    }
    return share;
  }

  #settle(pool: TeamPool, now: number): void {
    const { share, until } = this.#holding(pool, now, false);
    pool.setShare(Math.max(0, share - this.#committed(pool, now)), until, now);
  }

  /** How long children may use leases and tokens: not longer than this process may. */
  #ttlMs(now: number): number {
    const session = this.#session?.isInContact(now)
      ? this.#session.until
      : Number.POSITIVE_INFINITY;
    const earlier = now < this.#earlierUntil ? this.#earlierUntil : Number.POSITIVE_INFINITY;
    const until = Math.min(session, earlier, this.#freshBaseUntil(now), now + SHARE_MS);
    return Math.max(0, Math.floor(until - now));
  }

  #nextTokenMs(pool: TeamPool): number {
    return pool.mintedPerS > 0
      ? (Math.max(0, 1 - pool.level) / pool.mintedPerS) * MS_PER_SECOND
      : MS_PER_SECOND;
  }

  #isListed(pool: TeamPool, now: number): boolean {
    return (
      pool.borrowed > 0 ||
      pool.lease.share > 0 ||
      pool.hasUnconfirmedTotals ||
      pool.unmetWant > 0 ||
      (this.#session?.isRemote && now < pool.activeElsewhereUntil) ||
      this.demandPerS(pool, now) >= ACTIVE_PER_S
    );
  }

  #teamReport(pool: TeamPool, waits: number, share: number, now: number): TeamReport {
    const { fast, slow } = this.rates(pool, now);
    const demandPerS = rateOf({ fast, slow });
    const target = this.#target(pool, demandPerS, now);
    pool.refundExpiredPasses(now);
    const held = pool.available(now);
    if (pool.isScarce && demandPerS < FREQUENT_PER_S && waits === 0) pool.handBack(pool.borrowed);
    else if (pool.borrowed > 2 * target + 1) pool.handBack(pool.borrowed - target);
    const want = Math.max(0, target - held) + waits;
    pool.noteReported();
    return [
      pool.limit.id,
      Math.round(fast * RATE_UNITS),
      Math.round(slow * RATE_UNITS),
      pool.used,
      pool.returned,
      want,
      waits,
      toUnitsInUse(this.#committed(pool, now)),
      toUnits(share),
      pool.refunded,
    ];
  }

  /** Tokens that this process should hold in stock. */
  #target(pool: TeamPool, demandPerS: number, now: number): number {
    if (this.#session?.isRemote && pool.share * pool.limit.capacity >= 1) return 0;
    const forDemand = Math.ceil(PREFETCH_S * demandPerS + pool.unmetWant);
    if (pool.isScarce) return demandPerS >= FREQUENT_PER_S ? forDemand : 0;
    return Math.max(now - pool.lastRequestAt < RECENT_MS ? 1 : 0, forDemand);
  }

  #grant(
    child: ChildSession,
    pool: TeamPool,
    team: TeamReport | undefined,
    isRemote: boolean,
    now: number,
  ): TeamGrant {
    const { id } = pool.limit;
    const share = toUnits(this.#leaseFor(child, pool, isRemote, now));
    child.lease(id, fromUnits(share));
    this.#settle(pool, now);
    const [, , , , , want = 0, waits = 0] = team ?? [];
    const passes = this.#pass(pool, waits, now);
    const stock = Math.max(0, want - waits);
    const count = this.#tokensFor(pool, stock, rateOf(child.rates(id, now)));
    pool.unmetWant = stock - count;
    const granted = child.lend(pool, count);
    const isFrequent = rateOf(child.rates(id, now)) >= FREQUENT_PER_S;
    const isExhausted = passes < waits || (isFrequent && count < stock && pool.available(now) < 1);
    const retryMs = isExhausted ? Math.ceil(this.#retryAtChild(pool, now) - now) : 0;
    return [id, share, granted, passes, retryMs];
  }

  /**
   * The share to lease to a child: proportional to its demand, as long as that is worth a few
   * tokens. For less, the tokens are better held here, where all children can get them. A data
   * centre gets its part of the whole quota; a process gets no more than its demand needs, so that
   * the rest can serve a herd at another one. What is not free yet is leased later.
   */
  #leaseFor(child: ChildSession, pool: TeamPool, isRemote: boolean, now: number): number {
    const { id, capacity, requestsPerSecond } = pool.limit;
    const { share: held } = this.#holding(pool, now, true);
    const total = this.demandPerS(pool, now);
    const demand = rateOf(child.rates(id, now));
    const committed = child.committed(id, now);
    let wanted = this.#proportion(demand, total, isRemote, now) * held;
    if (!isRemote && total < SATURATED_PART * held * requestsPerSecond) {
      wanted = Math.min(wanted, (LEASE_HEADROOM * demand) / requestsPerSecond);
    }
    if (isRemote && wanted * capacity < 1) return 0;
    if (!isRemote && demand < (committed > 0 ? MIN_KEPT_PER_S : MIN_LEASED_PER_S)) return 0;
    if (!isRemote && wanted * capacity < (committed > 0 ? MIN_KEPT_TOKENS : MIN_LEASED_TOKENS))
      return 0;
    const free = held - this.#committed(pool, now);
    const isSimilar = Math.abs(wanted - committed) < MIN_LEASE_CHANGE * committed;
    const local =
      this.#proportion(rateOf(this.rates(pool, now, true)), total, isRemote, now) * held;
    const idle = held - this.#committed(pool, now, true) - local;
    const isIdle = isRemote && idle > wanted - committed;
    if (isSimilar && free >= 0 && (wanted < committed || !isIdle)) return committed;
    return Math.max(0, Math.min(wanted, committed + Math.max(0, free)));
  }

  #proportion(demand: number, total: number, isRemote: boolean, now: number): number {
    const byDemand = total > 0 ? demand / total : 0;
    if (!isRemote) return byDemand;
    const others = this.#remoteChildren(now);
    return (demand + PRIOR_PER_S / (others + 1)) / (total + PRIOR_PER_S);
  }

  /** Spends tokens for requests that wait at a child. */
  #pass(pool: TeamPool, waits: number, now: number): number {
    let passes = 0;
    while (passes < waits && pool.spend(now)) passes += 1;
    return passes;
  }

  /** Tokens for the stock of a child; some are kept for requests that wait. */
  #tokensFor(pool: TeamPool, want: number, demandPerS: number): number {
    const held = Math.floor(pool.level) + pool.borrowed;
    const capacity = pool.share * pool.limit.capacity;
    const reserve = Math.min(MAX_RESERVE, RESERVE_PART * capacity);
    const lendable = MAX_LENT_PART * capacity - pool.lentMinted;
    const spare = Math.max(0, Math.floor(Math.min(held - reserve, lendable)));
    const isFrequent = demandPerS >= FREQUENT_PER_S;
    return Math.min(want, isFrequent ? Math.max(spare, Math.ceil(held / 2)) : spare);
  }

  #acceptGrant(pool: TeamPool, grant: TeamGrant | undefined, until: number, now: number): void {
    const [, share = 0, granted = pool.granted, passes = 0, retryMs = 0] = grant ?? [];
    pool.mint(now);
    pool.lease = { share: fromUnits(share), until };
    pool.receive(granted, until);
    pool.refundExpiredPasses(now);
    pool.passes += passes;
    pool.passesUntil = Math.min(now + PASS_MS, until);
    pool.confirmTotals();
    if (grant) pool.activeElsewhereUntil = now + ACTIVE_ELSEWHERE_MS;
    this.#noteScarcity(pool, retryMs, now);
    this.#settle(pool, now);
  }

  #noteScarcity(pool: TeamPool, retryMs: number, now: number): void {
    pool.isScarce = retryMs > 0;
    if (!pool.isScarce) return;
    pool.retryAt = now + retryMs;
    const isFrequent = pool.demand.perS(now) >= FREQUENT_PER_S;
    pool.exhaustedUntil = now + (isFrequent ? SCARCE_MS : Math.min(retryMs, MAX_BLOCK_MS));
  }

  #promise(session: ParentSession, until: number, now: number): void {
    if (!session.isRemote) {
      const isNew = now >= this.#delegatedUntil;
      this.#delegatedUntil = Math.max(this.#delegatedUntil, until);
      if (isNew) this.refresh(now);
    }
    for (const id of session.delegated) {
      const pool = this.#byId.get(id);
      if (pool) pool.delegatedUntil = Math.max(pool.delegatedUntil, until);
    }
  }

  /** Adds start credit of children, to pass it on or to use it here. */
  #addCredit(share: number, now: number): void {
    this.#credit = (this.#credit ?? this.#ownShare(now)) + share;
  }

  /** Turns start credit into tokens at a root, where all processes of the data centre can get them. */
  #useCredit(now: number): void {
    if (this.#session && !this.#session.isRemote) return;
    if (now - this.startedAt < CREDIT_AFTER_MS) return;
    const credit = this.#credit ?? this.#ownShare(now);
    this.#credit = 0;
    if (credit === 0) return;
    for (const pool of this.pools.values()) pool.level += credit * pool.limit.startCredit;
  }
}

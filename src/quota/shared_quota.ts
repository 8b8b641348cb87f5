/** Quotas that all processes share: reports to the parent, and answers to children, over links. */
import { notRun, type QuotaAnswer, type QuotaReport, type Team } from '../contracts.js';
import { type Mesh } from '../distribution/mesh.js';
import { QUOTA } from '../distribution/methods.js';
import { type Replica } from '../distribution/replica.js';
import { type Methods, type Peer } from '../link/peer.js';
import { type Ranking } from '../membership/ranking.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { keepRunning, runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { TokenBucket } from '../runtime/token_bucket.js';
import { teamLimitsOf } from './team_limit.js';
import { PauseDetector } from './pause_detector.js';
import { quotaParent } from './parent.js';
import { Quota, type TeamUsage } from './quota.js';
import { QuotaNode, type Shortage } from './quota_node.js';
import { type TeamPool } from './team_pool.js';
import { WaitingRequests } from './waiting_requests.js';

/** The parts of the process that the quotas use. */
export interface QuotaDependencies {
  readonly replica: Pick<Replica, 'current' | 'onApplied'>;
  readonly roster: Roster;
  readonly ranking: Ranking;
  readonly mesh: Pick<Mesh, 'peer'>;
  readonly methods: Methods;
  readonly clock: Clock;
  readonly random: Random;
  /** The wall clock, which also counts time for which the machine was suspended. */
  readonly wallClock?: () => number;
}

/** Interval of reports while a team has requests, and otherwise, in milliseconds. */
const ACTIVE_INTERVAL_MS = 200;
const IDLE_INTERVAL_MS = 400;
/** Interval until the parent knows this process, in milliseconds. */
const JOIN_INTERVAL_MS = 50;
/** How long a report waits for its answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 400;
/** How long a request waits for a token at most, in milliseconds. */
const MAX_WAIT_MS = 150;
/** How long a child's report waits for tokens of this process's parent, in milliseconds. */
const MAX_CHILD_WAIT_MS = 120;
/** Reports a second that requests without a token may cause, and how many at once. */
const ASKS_PER_S = 20;
const ASK_BURST = 20;

export class SharedQuota extends Quota {
  readonly #node: QuotaNode;

  readonly #waiting: WaitingRequests;

  readonly #pauses: PauseDetector;

  readonly #asks: TokenBucket;

  /** Requests that wait at children, while this process asks its parent for them. */
  readonly #waitingAtChildren = new Map<TeamPool, number>();

  /** Whether no report has asked for some of them yet. */
  #hasUnsentOfChildren = false;

  #exchange: Promise<void> | undefined;

  #isRunning = false;

  #lastReportAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly dependencies: QuotaDependencies,
    private readonly signal: AbortSignal,
  ) {
    super();
    const { replica, methods, clock, random, wallClock = () => Date.now() } = dependencies;
    this.#node = new QuotaNode(clock.now(), random);
    this.#waiting = new WaitingRequests(clock);
    this.#pauses = new PauseDetector(clock, wallClock);
    this.#asks = new TokenBucket(clock, ASKS_PER_S, ASK_BURST);
    methods.on(QUOTA, (peer, report) => this.#answer(peer, report));
    replica.onApplied(() => this.#configure());
    this.#configure();
  }

  /** The quotas of a process with these parts; a signal ends their reports. */
  static of(
    {
      replica,
      roster,
      ranking,
      mesh,
      methods,
    }: Omit<QuotaDependencies, 'clock' | 'random' | 'wallClock'>,
    clock: Clock,
    random: Random,
    signal: AbortSignal,
  ): SharedQuota {
    return new SharedQuota({ replica, roster, ranking, mesh, methods, clock, random }, signal);
  }

  take({ name }: Team): Promise<void> | undefined {
    const pool = this.#node.pools.get(name);
    if (!pool) return undefined;
    const now = this.dependencies.clock.now();
    this.#checkPause(now);
    const shortage = this.#node.take(pool, now);
    if (!shortage) return undefined;
    if (shortage.mayAsk && this.#asks.take()) return this.#ask(pool);
    throw refusal(pool, shortage);
  }

  refund({ name }: Team): void {
    const pool = this.#node.pools.get(name);
    if (pool) this.#node.refund(pool, this.dependencies.clock.now());
  }

  get usage(): readonly TeamUsage[] {
    const now = this.dependencies.clock.now();
    return [...this.#node.pools.values()].map((pool) => ({
      team: pool.limit.name,
      admitted: pool.admitted,
      refused: pool.refused,
      demandPerS: pool.demand.perS(now),
      tokens: pool.available(now),
      offlinePerS: this.#node.offlinePerS(pool, now),
      isInContact: this.#node.isInContact(now),
    }));
  }

  #configure(): void {
    const { replica, clock } = this.dependencies;
    this.#node.configure(teamLimitsOf(replica.current.all('team')), clock.now());
    if (this.#node.pools.size > 0 && !this.#isRunning) runInBackground('quota', this.#run());
  }

  async #run(): Promise<void> {
    this.#isRunning = true;
    const report = () => this.#reportRegularly();
    await keepRunning('quota', report, this.signal, this.dependencies.clock);
    this.#isRunning = false;
  }

  /** Reports to the parent at intervals as long as a team has a limit. */
  async #reportRegularly(): Promise<void> {
    const { clock, random } = this.dependencies;
    let dueAt = clock.now() + random.jitter(JOIN_INTERVAL_MS);
    while (!this.signal.aborted && this.#node.pools.size > 0) {
      await clock.sleepUntil(dueAt, this.signal);
      this.#checkPause(clock.now());
      // A request without a token may have caused a report meanwhile.
      if (clock.now() >= this.#lastReportAt + this.#intervalMs) await this.#report();
      dueAt = Math.max(clock.now() + 1, this.#lastReportAt + this.#intervalMs);
    }
  }

  get #intervalMs(): number {
    const now = this.dependencies.clock.now();
    if (this.#node.isJoining(now)) return JOIN_INTERVAL_MS;
    return this.#node.isActive(now) ? ACTIVE_INTERVAL_MS : IDLE_INTERVAL_MS;
  }

  /** Exchanges one report and its answer; joins an exchange under way. */
  #report(): Promise<void> {
    this.#exchange ??= this.#exchangeReports().finally(() => {
      this.#exchange = undefined;
    });
    return this.#exchange;
  }

  /** Reports, and reports again for requests that began to wait after the report was sent. */
  async #exchangeReports(): Promise<void> {
    do {
      const peer = this.#findParent();
      const { clock } = this.dependencies;
      const sentAt = clock.now();
      this.#lastReportAt = sentAt;
      const report = this.#node.report(this.#waitingCounts(), sentAt);
      if (!report || !peer) return;
      try {
        const answer = await peer.request(QUOTA, report, sentAt + ANSWER_TIMEOUT_MS);
        this.#node.accept(answer, sentAt, clock.now());
      } catch {
        // The totals of the next report make up for a lost one.
        return;
      }
      this.#serveWaiting();
    } while ((this.#waiting.hasUnsent || this.#hasUnsentOfChildren) && !this.signal.aborted);
  }

  /** Notes the place of this process in the tree; returns the link to its parent if it is open. */
  #findParent(): Peer | undefined {
    const { roster, ranking, mesh, clock } = this.dependencies;
    const now = clock.now();
    this.#node.setMembers(roster.size - roster.counts.left, now);
    const parent = quotaParent(ranking);
    const peer = parent && mesh.peer(parent.instance);
    if (parent && peer) {
      const run = `${parent.instance} ${peer.member!.incarnation}`;
      this.#node.setParent(run, parent.isRemote, now);
    } else if (!parent) {
      this.#node.setParent(undefined, false, now);
    }
    return peer;
  }

  #waitingCounts(): Map<TeamPool, number> {
    const counts = this.#waiting.send();
    this.#hasUnsentOfChildren = false;
    for (const [pool, count] of this.#waitingAtChildren) {
      counts.set(pool, (counts.get(pool) ?? 0) + count);
    }
    return counts;
  }

  /** Lets a request wait for a token of the parent. */
  async #ask(pool: TeamPool): Promise<void> {
    const { clock } = this.dependencies;
    const result = this.#waiting.add(pool, clock.now() + MAX_WAIT_MS);
    runInBackground('quota report', this.#report());
    if (await result) return;
    throw refusal(pool, { retryAt: this.#node.retryAt(pool, clock.now()), mayAsk: false });
  }

  #serveWaiting(): void {
    const now = this.dependencies.clock.now();
    this.#waiting.serve(
      (pool) => this.#node.spend(pool, now),
      (pool) => now < pool.exhaustedUntil,
    );
  }

  async #answer(peer: Peer, report: QuotaReport): Promise<QuotaAnswer> {
    const { clock, roster } = this.dependencies;
    const { member } = peer;
    if (!member) throw new Error('no introduction yet');
    this.#checkPause(clock.now());
    const child = this.#node.receive(member.instance, report, clock.now());
    if (this.#node.shouldAsk(report, clock.now())) await this.#askForChild(report);
    const isRemote = member.dataCentre !== roster.self.dataCentre;
    return this.#node.answer(child, report, isRemote, clock.now());
  }

  /** Asks the parent for tokens for which requests wait at a child. */
  async #askForChild([, , , , , , teams]: QuotaReport): Promise<void> {
    const { clock } = this.dependencies;
    const waits = teams.filter(([, , , , , , count]) => count > 0);
    const add = (sign: number) => {
      for (const [id, , , , , , count] of waits) {
        const pool = this.#node.poolOf(id);
        const sum = pool ? (this.#waitingAtChildren.get(pool) ?? 0) + sign * count : 0;
        if (pool && sum > 0) this.#waitingAtChildren.set(pool, sum);
        else if (pool) this.#waitingAtChildren.delete(pool);
      }
    };
    add(1);
    this.#hasUnsentOfChildren = true;
    await Promise.race([this.#report(), clock.sleepUntil(clock.now() + MAX_CHILD_WAIT_MS)]);
    add(-1);
  }

  #checkPause(now: number): void {
    if (this.#pauses.wasPaused(now)) this.#node.discard(now);
  }
}

function refusal(pool: TeamPool, { retryAt }: Shortage): Error {
  pool.refused += 1;
  return notRun('quota', `the team ${pool.limit.name} is at its limit`, retryAt);
}

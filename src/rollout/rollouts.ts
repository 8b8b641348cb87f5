/** Roll-outs as one process has them: put together and handed to its parts. */
import { type Member, OutcomeError, type Rollout } from '../contracts.js';
import { type Mesh } from '../distribution/mesh.js';
import { type Methods } from '../link/peer.js';
import { type Log } from '../logs/log.js';
import { type Ranking } from '../membership/ranking.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { AnswerCounter, EvidenceBook } from './evidence_book.js';
import { Judge } from './judge.js';
import { OrderReader } from './order_reader.js';
import { isRefused, isUndecided, orderNameOf, Orders } from './orders.js';
import { type OrderSource } from './order_source.js';
import { Observer, type Ran } from './observer.js';
import { Plan } from './plan.js';
import { Spread } from './spread.js';

/** The parts of the process that roll-outs stand on. */
export interface RolloutGrounds {
  readonly roster: Roster;
  readonly ranking: Ranking;
  readonly mesh: Mesh;
  readonly methods: Methods;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly source: OrderSource;
  /** Share of its upstream's requests that a bad version may get. */
  readonly allowedShare: number;
}

/** How often evidence is sent and looked at, in milliseconds. */
const LOOK_EVERY_MS = 250;
/** Old endpoints are many and their answers only a measure: they send every so many looks. */
const OLD_EVERY = 4;
/** How often it is looked whether this process has become a judge, in milliseconds. */
const IDLE_MS = 2_000;

export class Rollouts extends Observer {
  readonly orders = new Orders();

  readonly plan: Plan;

  readonly #book = new EvidenceBook();

  readonly #counter = new AnswerCounter();

  /** The order for which it counts. */
  #countedFor: string | undefined;

  readonly #spread: Spread;

  readonly #judge: Judge;

  readonly #reader: OrderReader;

  /** Wakes the task when there may be something to judge. */
  #wake = new AbortController();

  constructor(private readonly grounds: RolloutGrounds) {
    super();
    const { mesh, methods, roster, ranking, clock, random, log, source, allowedShare } = grounds;
    const { orders } = this;
    this.plan = new Plan(orders, roster, clock, allowedShare);
    this.#spread = new Spread(mesh, orders, this.#book, clock, random, methods);
    this.#judge = new Judge(orders, this.#book, this.#spread, clock, log);
    this.#reader = new OrderReader(
      source,
      orders,
      this.#spread,
      this.#judge,
      this.plan,
      ranking,
      clock,
      random,
      log,
    );
    orders.onChanged((rollout) => this.#changed(rollout));
  }

  get isShut(): boolean {
    const { endpoint } = this.grounds.roster.self;
    if (!endpoint) return false;
    const order = this.orders.of(endpoint.upstream);
    return order !== undefined && order.version === endpoint.version && isRefused(order);
  }

  /** Counts only while that matters. */
  async observe<T extends Ran>(route: string, work: () => Promise<T>): Promise<T> {
    if (!this.#ownOrder) return work();
    try {
      const ran = await work();
      this.#counter.add(route, ran);
      return ran;
    } catch (error) {
      if (isFailure(error)) this.#counter.add(route, { isFailure: true, tookMs: undefined });
      throw error;
    }
  }

  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#reader.run(signal), this.#lookOn(signal)]);
  }

  /** Sleeps for as long as nothing is being rolled out. */
  async #lookOn(signal: AbortSignal): Promise<void> {
    const { clock } = this.grounds;
    for (let look = 0; !signal.aborted; look++) {
      const isBusy = this.#ownOrder !== undefined || (this.#isJudge && this.#isUnderWay);
      const wakeAt = clock.now() + (isBusy ? LOOK_EVERY_MS : IDLE_MS);
      await clock.sleepUntil(wakeAt, AbortSignal.any([signal, this.#wake.signal]));
      if (this.#wake.signal.aborted) this.#wake = new AbortController();
      this.#publish(look);
      if (this.#isJudge) this.#judge.look();
    }
  }

  /** Those who know the version's endpoints best judge too: readers may all be away. */
  get #isJudge(): boolean {
    const { ranking, roster } = this.grounds;
    if (ranking.isReader) return true;
    const order = this.#ownOrder;
    return order !== undefined && order.version === roster.self.endpoint?.version;
  }

  get #isUnderWay(): boolean {
    return this.orders.all().some(isUndecided);
  }

  /** The order under way for the upstream that the endpoint beside this process serves. */
  get #ownOrder(): Rollout | undefined {
    const { endpoint } = this.grounds.roster.self;
    if (endpoint?.version === undefined) return undefined;
    const order = this.orders.of(endpoint.upstream);
    return order && isUndecided(order) ? order : undefined;
  }

  #publish(look: number): void {
    const order = this.#ownOrder;
    const { instance, incarnation, endpoint }: Member = this.grounds.roster.self;
    if (!order || endpoint?.version === undefined) return;
    const { upstream, version } = endpoint;
    if (version !== order.version && look % OLD_EVERY !== 0) return;
    const { routes } = this.#counter;
    const name = orderNameOf(order);
    this.#spread.add({ instance, incarnation, upstream, version, order: name, routes });
  }

  #changed(rollout: Rollout): void {
    const { endpoint } = this.grounds.roster.self;
    if (endpoint?.upstream === rollout.upstream && orderNameOf(rollout) !== this.#countedFor) {
      this.#countedFor = orderNameOf(rollout);
      this.#counter.reset();
    }
    this.#book.retain(({ upstream, order: name }) => {
      const order = this.orders.of(upstream);
      return order !== undefined && orderNameOf(order) === name && isUndecided(order);
    });
    this.#wake.abort();
  }
}

/** What was not run, or not waited for, says nothing of a version. */
function isFailure(error: unknown): boolean {
  if (!(error instanceof OutcomeError)) return true;
  return error.verdict !== 'not-run' && error.reason !== 'cancelled';
}

/** The rollouts of one process: creates and connects their parts. */
import { type Member, OutcomeError, type Rollout } from '../contracts.js';
import { type Mesh } from '../distribution/mesh.js';
import { type Methods } from '../link/peer.js';
import { type Log } from '../logs/log.js';
import { type ReaderRole } from '../distribution/reader_role.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { sleepUntilAny } from '../runtime/sleep.js';
import { type Random } from '../runtime/random.js';
import { AnswerCounter, EvidenceStore } from './evidence_store.js';
import { Judge } from './judge.js';
import { OrderReader } from './order_reader.js';
import { isRefused, isUndecided, orderNameOf, Orders } from './orders.js';
import { type OrderSource } from './order_source.js';
import { Observer, type ObservedAnswer } from './observer.js';
import { RolloutRoles } from './rollout_roles.js';
import { RolloutBroadcast } from './rollout_broadcast.js';

/** The parts of the process that rollouts use. */
export interface RolloutDependencies {
  readonly roster: Roster;
  readonly readerRole: Pick<ReaderRole, 'isReader' | 'readerIndex'>;
  readonly mesh: Mesh;
  readonly methods: Methods;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly source: OrderSource;
  /** Share of an upstream's requests that a bad version may get, 0 to 1. */
  readonly allowedShare: number;
}

/** Interval at which evidence is sent and evaluated, in milliseconds. */
const EVALUATE_MS = 250;
/** Endpoints of the old version are many and serve only for comparison: they send every nth time. */
const OLD_VERSION_EVERY = 4;
/** Interval at which a process checks whether it has to judge, in milliseconds. */
const IDLE_MS = 2_000;

export class Rollouts extends Observer {
  readonly orders = new Orders();

  readonly roles: RolloutRoles;

  readonly #evidenceStore = new EvidenceStore();

  readonly #counter = new AnswerCounter();

  /** The order for which answers are counted. */
  #countedOrder: string | undefined;

  readonly #broadcast: RolloutBroadcast;

  readonly #judge: Judge;

  readonly #reader: OrderReader;

  /** Aborted to wake the evaluation when an order has changed. */
  #wake = new AbortController();

  constructor(private readonly dependencies: RolloutDependencies) {
    super();
    const { mesh, methods, roster, readerRole, clock, random, log, source, allowedShare } =
      dependencies;
    const { orders } = this;
    this.roles = new RolloutRoles(orders, roster, clock, allowedShare);
    this.#broadcast = new RolloutBroadcast(
      mesh,
      orders,
      this.#evidenceStore,
      clock,
      random,
      methods,
    );
    this.#judge = new Judge(orders, this.#evidenceStore, this.#broadcast, clock, log);
    this.#reader = new OrderReader(
      source,
      orders,
      this.#broadcast,
      this.#judge,
      this.roles,
      readerRole,
      clock,
      random,
      log,
    );
    orders.onChanged((rollout) => this.#onOrderChanged(rollout));
  }

  get isShut(): boolean {
    const { endpoint } = this.dependencies.roster.self;
    if (!endpoint) return false;
    const order = this.orders.of(endpoint.upstream);
    return order !== undefined && order.version === endpoint.version && isRefused(order);
  }

  /** Counts answers only during a rollout of the own upstream. */
  async observe<T extends ObservedAnswer>(route: string, work: () => Promise<T>): Promise<T> {
    if (!this.#ownOrder) return work();
    try {
      const answer = await work();
      this.#counter.add(route, answer);
      return answer;
    } catch (error) {
      if (isFailure(error)) this.#counter.add(route, { isFailure: true, tookMs: undefined });
      throw error;
    }
  }

  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#reader.run(signal), this.#evaluateRegularly(signal)]);
  }

  /** Evaluates rollouts, in long intervals while there is nothing to count or judge. */
  async #evaluateRegularly(signal: AbortSignal): Promise<void> {
    const { clock } = this.dependencies;
    for (let look = 0; !signal.aborted; look++) {
      const isBusy = this.#ownOrder !== undefined || (this.#isJudge && this.#hasUndecided);
      const wakeAt = clock.now() + (isBusy ? EVALUATE_MS : IDLE_MS);
      await sleepUntilAny(clock, wakeAt, [signal, this.#wake.signal]);
      if (this.#wake.signal.aborted) this.#wake = new AbortController();
      this.#publish(look);
      if (this.#isJudge) this.#judge.look();
    }
  }

  /** Guards of the ordered version's endpoints judge too, as all readers may be unreachable. */
  get #isJudge(): boolean {
    const { readerRole, roster } = this.dependencies;
    if (readerRole.isReader) return true;
    const order = this.#ownOrder;
    return order !== undefined && order.version === roster.self.endpoint?.version;
  }

  get #hasUndecided(): boolean {
    return this.orders.all().some(isUndecided);
  }

  /** The undecided order for the upstream of this process's own endpoint. */
  get #ownOrder(): Rollout | undefined {
    const { endpoint } = this.dependencies.roster.self;
    if (endpoint?.version === undefined) return undefined;
    const order = this.orders.of(endpoint.upstream);
    return order && isUndecided(order) ? order : undefined;
  }

  #publish(look: number): void {
    const order = this.#ownOrder;
    const { instance, incarnation, endpoint }: Member = this.dependencies.roster.self;
    if (!order || endpoint?.version === undefined) return;
    const { upstream, version } = endpoint;
    if (version !== order.version && look % OLD_VERSION_EVERY !== 0) return;
    const { routes } = this.#counter;
    const name = orderNameOf(order);
    this.#broadcast.addEvidence({ instance, incarnation, upstream, version, order: name, routes });
  }

  #onOrderChanged(rollout: Rollout): void {
    const { endpoint } = this.dependencies.roster.self;
    if (endpoint?.upstream === rollout.upstream && orderNameOf(rollout) !== this.#countedOrder) {
      this.#countedOrder = orderNameOf(rollout);
      this.#counter.reset();
    }
    this.#evidenceStore.retain(({ upstream, order: name }) => {
      const order = this.orders.of(upstream);
      return order !== undefined && orderNameOf(order) === name && isUndecided(order);
    });
    this.#wake.abort();
  }
}

/** Requests that were not run, or were cancelled by the caller, do not count against a version. */
function isFailure(error: unknown): boolean {
  if (!(error instanceof OutcomeError)) return true;
  return error.verdict !== 'not-run' && error.reason !== 'cancelled';
}

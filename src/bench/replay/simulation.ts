/** Simulates a deployment and its callers under a load pattern. */
import { asOutcome, type Member } from '../../contracts.js';
import { type Clock } from '../../runtime/clock.js';
import { type Random } from '../../runtime/random.js';
import { ReplayStats } from './replay_stats.js';
import { type RequestKind, type Pattern } from './pattern.js';
import { type Policy } from './policy.js';
import { type SimulatedCaller, SimulatedNode } from './simulated_node.js';
import { dataCentresOf, ChangeSchedule } from './change_schedule.js';
import { TeamMix } from './team_mix.js';

const MS_PER_SECOND = 1_000;
/** One-way latency between callers and their data centre, in milliseconds. */
const CALLER_LATENCY_MS = 8;
/** Longest wait before a retry, as a share of the time that the caller has left. */
const MAX_RETRY_WAIT_SHARE = 1 / 3;
/** Largest share by which a caller waits less than the kind's `waitMs`. */
const WAIT_VARIATION = 0.15;
/** Wait before a retry when the refusal names no retry time, in milliseconds. */
const DEFAULT_RETRY_MS = 200;

export class Simulation {
  readonly schedule: ChangeSchedule;

  readonly stats: ReplayStats;

  readonly members: Member[] = [];

  readonly #nodes: SimulatedNode[] = [];

  readonly #startAt: number;

  readonly #teamMix: TeamMix;

  /** Callers without a final result. */
  readonly #pendingCallers = new Set<Promise<void>>();

  constructor(
    private readonly pattern: Pattern,
    policy: Policy,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.#startAt = clock.now();
    this.schedule = new ChangeSchedule(pattern, this.#startAt);
    this.stats = new ReplayStats(this.#startAt);
    this.#teamMix = new TeamMix(pattern.teams, random);
    const places = pattern.upstreams.flatMap(({ name, instances }) =>
      instances.map((instance, index) => ({ name, index, ...instance })),
    );
    this.members = places.map(({ name, index, dataCentre, slots }) =>
      memberOf(`${name}-${index}`, dataCentre, { upstream: name, state: 'ready', slots }),
    );
    places.forEach(({ index, speed, linkKbps }, place) => {
      const member = this.members[place]!;
      this.#nodes.push(
        new SimulatedNode(member, index, speed, linkKbps, policy, this, clock, random),
      );
    });
  }

  nodeOf(instance: string): SimulatedNode {
    return this.#nodes.find(({ member }) => member.instance === instance)!;
  }

  kindOf(name: string): RequestKind {
    return this.pattern.kinds.find((kind) => kind.name === name)!;
  }

  /** Counts the bytes of an answer if it is sent between data centres. */
  recordTransfer(from: SimulatedNode, to: SimulatedNode, bytes: number): void {
    if (from.dataCentre !== to.dataCentre) this.stats.crossedBytes += bytes;
  }

  /** Resolves once every caller has a final result. */
  async run(): Promise<ReplayStats> {
    const dataCentres = dataCentresOf(this.pattern);
    const outside = this.pattern.kinds.filter(({ perSecond }) => perSecond > 0);
    const streams = outside.flatMap((kind) =>
      dataCentres.map((dataCentre) => this.#generateLoad(kind, dataCentre, dataCentres.length)),
    );
    await Promise.all(streams);
    await Promise.all(this.#pendingCallers);
    return this.stats;
  }

  /** Starts callers of a kind in a data centre as a Poisson process, until the pattern ends. */
  async #generateLoad(kind: RequestKind, dataCentre: string, dataCentres: number): Promise<void> {
    const endAt = this.#startAt + this.pattern.seconds * MS_PER_SECOND;
    for (;;) {
      const now = this.clock.now();
      const perSecond =
        (kind.perSecond / dataCentres) * Math.max(0.01, this.schedule.loadFactor(dataCentre, now));
      const pauseMs = (-Math.log(1 - this.random.next()) / perSecond) * MS_PER_SECOND;
      await this.clock.sleepUntil(now + pauseMs);
      if (this.clock.now() >= endAt) return;
      const caller = this.#runCaller(kind, dataCentre);
      this.#pendingCallers.add(caller);
      void caller.finally(() => this.#pendingCallers.delete(caller));
    }
  }

  /** Runs a caller with its retries and records the result. */
  async #runCaller(kind: RequestKind, dataCentre: string): Promise<void> {
    const firstAt = this.clock.now();
    const givesUpAt = firstAt + kind.waitMs * (1 - WAIT_VARIATION * this.random.next());
    const team = this.#teamMix.draw(kind.name);
    const caller: SimulatedCaller = { asks: this.random.nonce(), givesUpAt, team };
    const nodes = this.#nodes.filter((node) => node.dataCentre === dataCentre);
    const node = nodes[this.random.below(nodes.length)]!;
    let refusals = 0;
    for (let attempt = 0; ; attempt++) {
      const failure = await this.#attempt(kind, node, caller);
      const now = this.clock.now();
      if (!failure) {
        this.stats.recordServed(kind, dataCentre, firstAt, now);
        this.stats.teams.record(team, kind, true);
        return;
      }
      if (failure.verdict === 'not-run') refusals += 1;
      const mayRetry = kind.isRepeatable || failure.verdict === 'not-run';
      const left = givesUpAt - now;
      const pauseMs = Math.min(
        (failure.retryAt ?? now + DEFAULT_RETRY_MS) - now,
        left * MAX_RETRY_WAIT_SHARE,
      );
      if (!mayRetry || attempt >= kind.retries || left <= CALLER_LATENCY_MS) {
        this.stats.recordLost(kind, dataCentre, firstAt, failure.verdict, refusals);
        this.stats.teams.record(team, kind, false);
        return;
      }
      await this.clock.sleepUntil(now + pauseMs);
    }
  }

  async #attempt(kind: RequestKind, node: SimulatedNode, caller: SimulatedCaller) {
    await this.clock.sleepUntil(this.clock.now() + CALLER_LATENCY_MS);
    try {
      if (this.schedule.areAllDown(this.clock.now())) throw new Error('all processes are down');
      await node.handleAsEntry(kind, caller);
      await this.clock.sleepUntil(this.clock.now() + CALLER_LATENCY_MS);
      return undefined;
    } catch (error) {
      await this.clock.sleepUntil(this.clock.now() + CALLER_LATENCY_MS);
      return asOutcome(error);
    }
  }
}

function memberOf(instance: string, dataCentre: string, endpoint: Member['endpoint']): Member {
  return {
    instance,
    dataCentre,
    host: '127.0.0.1',
    linkPort: 1,
    guardPort: 2,
    operatorsPort: 3,
    incarnation: 1,
    sequence: 1,
    liveness: 'alive',
    endpoint,
  };
}

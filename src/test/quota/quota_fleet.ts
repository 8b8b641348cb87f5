/** Simulates processes that share quotas, with messages in memory that can be lost, late or cut off. */
import { Configuration } from '../../configuration/configuration.js';
import { type Liveness, type Member, type QuotaAnswer, type Team } from '../../contracts.js';
import { QUOTA } from '../../distribution/methods.js';
import { Methods, type Peer } from '../../link/peer.js';
import { Ranking } from '../../membership/ranking.js';
import { Roster } from '../../membership/roster.js';
import { SharedQuota } from '../../quota/shared_quota.js';
import { SeededRandom } from '../../runtime/random.js';
import { memberOf } from '../membership/member.js';
import { SimulatedClock, SimulatedTime } from './simulated_clock.js';

const FANOUT = 8;
/** How long it takes until other processes take a silent one for dead, in milliseconds. */
const DETECTION_MS = 4_000;
/** How long a restarted process takes until it knows the fleet and has its links, in milliseconds. */
const JOIN_MS = 150;
const WINDOW_MS = 5_000;

export interface FleetOptions {
  readonly seed: number;
  /** Number of processes by data centre. */
  readonly sizes?: Readonly<Record<string, number>>;
  readonly teams: readonly Team[];
  /** Probability that a message is lost. */
  readonly loss?: number;
}

/** Requests of one team: how many a second, and at which processes they arrive. */
export interface Load {
  readonly team: string;
  readonly perS: number;
  /** Names of the processes; all if absent. */
  readonly at?: readonly string[];
  /** Exponent of the skew between them: 0 for none. */
  readonly skew?: number;
}

interface Process {
  member: Member;
  clock: SimulatedClock;
  roster: Roster;
  methods: Methods;
  quota: SharedQuota;
  stopping: AbortController;
  isAlive: boolean;
  readonly applied: (() => void)[];
  configuration: Configuration;
}

const DEFAULT_SIZES = { arima: 15, couva: 15, moruga: 15, tobago: 15 };

export class QuotaFleet {
  readonly time = new SimulatedTime();

  readonly random: SeededRandom;

  readonly processes = new Map<string, Process>();

  /** Number of requests let pass and refused, by team and millisecond. */
  readonly passed = new Map<string, number[]>();

  readonly refused = new Map<string, number[]>();

  loads: readonly Load[] = [];

  messages = 0;

  bytes = 0;

  /** Called with each message, to measure its size. */
  onMessage: (message: unknown) => void = () => {};

  readonly #cuts = new Set<string>();

  /** When restarted processes get to know the fleet. */
  #joinsAt = 0;

  readonly #start = this.time.now;

  #configuration: Configuration;

  constructor(private readonly options: FleetOptions) {
    this.random = new SeededRandom(options.seed);
    this.#configuration = Configuration.empty.next({ put: [...options.teams], remove: [] });
    for (const [dataCentre, size] of Object.entries(options.sizes ?? DEFAULT_SIZES)) {
      for (let index = 0; index < size; index++) {
        const member = memberOf(`${dataCentre}-${index}`, { dataCentre });
        this.processes.set(member.instance, this.#startProcess(member));
      }
    }
    this.#introduceAll();
  }

  get names(): string[] {
    return [...this.processes.keys()];
  }

  /** Milliseconds since the start. */
  get elapsed(): number {
    return this.time.now - this.#start;
  }

  async advance(ms: number): Promise<void> {
    for (let step = 0; step < ms; step++) {
      const isBusy = this.time.step();
      const hasSent = this.#sendRequests();
      if (isBusy || hasSent) await settle();
    }
  }

  /** Cuts all messages between two groups, each a data centre or a process. */
  cut(one: string, other: string): void {
    this.#cuts.add(`${one} ${other}`);
    this.#cuts.add(`${other} ${one}`);
    this.#afterDetection(() => this.#updateLiveness());
  }

  heal(): void {
    this.#cuts.clear();
    this.#updateLiveness();
  }

  kill(name: string): void {
    const process = this.processes.get(name)!;
    process.isAlive = false;
    process.stopping.abort();
    this.#afterDetection(() => this.#updateLiveness());
  }

  restart(name: string): void {
    const { member, isAlive } = this.processes.get(name)!;
    if (isAlive) return;
    const restarted = { ...member, incarnation: member.incarnation + 1 };
    this.processes.set(name, this.#startProcess(restarted));
    if (this.#joinsAt > this.time.now) return;
    this.#joinsAt = this.time.now + JOIN_MS;
    this.time.at(this.#joinsAt, () => this.#introduceAll());
  }

  pause(name: string, isSuspended: boolean): void {
    const { clock, isAlive } = this.processes.get(name)!;
    if (!isAlive) return;
    clock.pause(isSuspended);
    this.#afterDetection(() => this.#updateLiveness());
  }

  resume(name: string): void {
    this.processes.get(name)!.clock.resume();
    this.#updateLiveness();
  }

  /** Puts another version in force at every process. */
  apply(teams: readonly Team[]): void {
    this.#configuration = this.#configuration.next({ put: [...teams], remove: [] });
    for (const process of this.processes.values()) {
      process.configuration = this.#configuration;
      for (const listener of process.applied) listener();
    }
  }

  /** Requests a second that were let pass between two instants, in milliseconds since the start. */
  rate(team: string, from: number, until: number): number {
    return (sum(this.passed.get(team) ?? [], from, until) * 1_000) / (until - from);
  }

  /** Lowest rate of any second between two instants. */
  lowestRate(team: string, from: number, until: number): number {
    const seconds = Math.floor((until - from) / 1_000);
    const starts = Array.from({ length: seconds }, (_, index) => from + index * 1_000);
    return Math.min(...starts.map((start) => this.rate(team, start, start + 1_000)));
  }

  /** The process that the rosters agree on as the leader. */
  get leader(): string {
    const { roster } = [...this.processes.values()].find(({ isAlive }) => isAlive)!;
    const ranking = new Ranking(roster, FANOUT);
    return ranking.root(ranking.dataCentres()[0]!)!.instance;
  }

  refusedBetween(team: string, from: number, until: number): number {
    return sum(this.refused.get(team) ?? [], from, until);
  }

  /** Maximum number of requests let pass in a window of 5 s that starts at `from` or later. */
  peak(team: string, from = 0): number {
    const counts = this.passed.get(team) ?? [];
    let inWindow = 0;
    let most = 0;
    for (let at = from; at < counts.length; at++) {
      inWindow += counts[at] ?? 0;
      if (at - WINDOW_MS >= from) inWindow -= counts[at - WINDOW_MS] ?? 0;
      most = Math.max(most, inWindow);
    }
    return most;
  }

  stop(): void {
    for (const { stopping } of this.processes.values()) stopping.abort();
  }

  #startProcess(member: Member): Process {
    const clock = new SimulatedClock(this.time);
    const roster = new Roster(member);
    const methods = new Methods();
    const stopping = new AbortController();
    const applied: (() => void)[] = [];
    const process = { member, clock, roster, methods, stopping, applied, isAlive: true } as Process;
    process.configuration = this.#configuration;
    const replica = {
      get current() {
        return process.configuration;
      },
      onApplied: (listener: (versions: []) => void) => void applied.push(() => listener([])),
    };
    const ranking = new Ranking(roster, FANOUT);
    const random = new SeededRandom(this.random.below(2 ** 31));
    const mesh = { peer: (instance: string) => this.#link(process, instance) };
    const wallClock = () => clock.wallClock();
    process.quota = new SharedQuota(
      { replica, roster, ranking, mesh, methods, clock, random, wallClock },
      stopping.signal,
    );
    return process;
  }

  /** The link of a process to another one, undefined as long as that is not known to live. */
  #link(from: Process, instance: string): Peer | undefined {
    const to = this.processes.get(instance);
    if (!to?.isAlive) return undefined;
    const { member } = to;
    const request = (_: unknown, params: unknown, deadline: number) =>
      this.#request(from, to, params, deadline);
    return { member, request } as unknown as Peer;
  }

  async #request(
    from: Process,
    to: Process,
    params: unknown,
    deadline: number,
  ): Promise<QuotaAnswer> {
    const handler = to.methods.handlers.get(QUOTA.name)!;
    const caller = { member: from.member } as Peer;
    return new Promise((resolve, reject) => {
      void from.clock.sleepUntil(deadline).then(() => reject(new Error('no answer')));
      this.#deliver(from, to, params, () => {
        const answered = Promise.resolve().then(() => handler(caller, params));
        answered.then(
          (answer) => this.#deliver(to, from, answer, () => resolve(answer as QuotaAnswer)),
          () => {},
        );
      });
    });
  }

  #deliver(from: Process, to: Process, message: unknown, action: () => void): void {
    this.messages += 1;
    this.onMessage(message);
    if (this.#isCut(from.member, to.member)) return;
    if (this.random.next() < (this.options.loss ?? 0)) return;
    const isLocal = from.member.dataCentre === to.member.dataCentre;
    const latencyMs = isLocal ? 1 + this.random.jitter(2) : 5 + this.random.jitter(10);
    this.time.at(this.time.now + latencyMs, () => {
      if (to.isAlive && !this.#isCut(from.member, to.member)) to.clock.run(action);
    });
  }

  #isCut(one: Member, other: Member): boolean {
    if (this.#cuts.size === 0) return false;
    return [one.instance, one.dataCentre].some((from) =>
      [other.instance, other.dataCentre].some((to) => this.#cuts.has(`${from} ${to}`)),
    );
  }

  #afterDetection(action: () => void): void {
    this.time.at(this.time.now + DETECTION_MS, action);
  }

  /** Makes all processes that reach each other know each other. */
  #introduceAll(): void {
    const latest = [...this.processes.values()].map(({ member }) => member);
    for (const { member: own, roster, isAlive } of this.processes.values()) {
      const reached = latest.filter((member) => !this.#isCut(own, member));
      if (isAlive) roster.merge(reached.filter((member) => isLater(member, roster)));
    }
    this.#updateLiveness();
  }

  /** Brings the rosters up to date: what is silent now counts as dead. */
  #updateLiveness(): void {
    for (const { member: own, roster, isAlive } of this.processes.values()) {
      if (!isAlive) continue;
      for (const { member, clock, isAlive: lives } of this.processes.values()) {
        const isReached = lives && !clock.isPaused && !this.#isCut(own, member);
        this.#setLiveness(roster, member, isReached ? 'alive' : 'dead');
      }
    }
  }

  #setLiveness(roster: Roster, member: Member, liveness: Liveness): void {
    const held = roster.get(member.instance);
    if (!held || member.instance === roster.self.instance || held.liveness === liveness) return;
    if (liveness === 'dead') roster.setLiveness(member.instance, 'dead');
    else roster.merge([{ ...held, liveness, incarnation: held.incarnation + 1 }]);
  }

  #sendRequests(): boolean {
    let hasSent = false;
    for (const { team, perS, at = this.names, skew = 0 } of this.loads) {
      const expected = perS / 1_000;
      let count = Math.floor(expected);
      if (this.random.next() < expected - count) count += 1;
      for (; count > 0; count--) {
        hasSent = true;
        const place = Math.floor(at.length * this.random.next() ** (1 + skew));
        void this.#sendRequest(team, this.processes.get(at[place]!)!);
      }
    }
    return hasSent;
  }

  async #sendRequest(
    name: string,
    { clock, quota, isAlive, configuration }: Process,
  ): Promise<void> {
    if (!isAlive || clock.isPaused) return;
    const team = configuration.find('team', name)!;
    try {
      await quota.take(team);
      this.#count(this.passed, name);
    } catch {
      this.#count(this.refused, name);
    }
  }

  #count(counts: Map<string, number[]>, team: string): void {
    const ofTeam = counts.get(team) ?? [];
    counts.set(team, ofTeam);
    ofTeam[this.elapsed] = (ofTeam[this.elapsed] ?? 0) + 1;
  }
}

/** The limit of requests in a window of 5 s. */
export function upperBound({ requestsPerSecond = 0, burst = 0 }: Team): number {
  return (requestsPerSecond * 5 + burst) * 1.1 + 20;
}

export function teamOf(name: string, requestsPerSecond: number, burst = 0): Team {
  return { kind: 'team', name, keyDigests: [], requestsPerSecond, burst };
}

function isLater(member: Member, known: Roster): boolean {
  const held = known.get(member.instance);
  return !held || member.incarnation > held.incarnation;
}

function sum(counts: readonly number[], from: number, until: number): number {
  let total = 0;
  for (let at = from; at < until; at++) total += counts[at] ?? 0;
  return total;
}

/** Lets all pending promises settle. */
function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

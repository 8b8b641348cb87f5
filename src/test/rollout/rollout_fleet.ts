/** Simulates processes that roll out a version under load, in this process and on fake timers. */
import { type Clock } from '../../runtime/clock.js';
import { SilentLog } from '../../logs/log.js';
import { Balancer } from '../../placement/balancer.js';
import { ObjectOrders } from '../../platform/object_orders.js';
import { type Platform } from '../../platform/platform.js';
import { Rollouts } from '../../rollout/rollouts.js';
import { SeededRandom } from '../../runtime/random.js';
import { type Node, TestFleet } from '../distribution/test_fleet.js';

const UPSTREAM = 'listings';
const KEY = `rollouts/${UPSTREAM}`;
const SIZES = { arima: 6, couva: 6, tobago: 6 };
const SLOTS = 6;
const ALLOWED_SHARE = 0.1;
const ALLOWED_SLACK = 50;
/** Number of bad answers after which a version must be withdrawn, and the time for it, in milliseconds. */
const BAD_ANSWERS = 50;
const ROLL_BACK_MS = 5_000;
const STEP_MS = 20;
const REQUESTS_PER_STEP = 5;
const WORK_MS = 130;
const CALL_MS = 1_000;
const SEED = 31;

/** How a version answers requests at an instant: the share that fails, and the factor on their duration. */
export type Behaviour = (now: number) => { readonly failing: number; readonly slower: number };

export const SOUND: Behaviour = () => ({ failing: 0.005, slower: 1 });
export const FAILING: Behaviour = () => ({ failing: 0.5, slower: 1 });

interface Process {
  readonly rollouts: Rollouts;
  readonly balancer: Balancer;
  readonly stopping: AbortController;
}

/** A request that was sent to an endpoint. */
interface SentRequest {
  readonly at: number;
  readonly version: string;
  readonly isBad: boolean;
}

export class RolloutFleet implements AsyncDisposable {
  readonly sent: SentRequest[] = [];

  readonly #processes = new Map<string, Process>();

  readonly #versions = new Map<string, string>();

  readonly #random = new SeededRandom(SEED);

  #orderedAt = 0;

  fleet!: TestFleet;

  private constructor(private readonly behaviours: Readonly<Record<string, Behaviour>>) {}

  /** Starts three data centres; a third of the processes have no endpoint yet, the others one of `v1`. */
  static async start(behaviours: Readonly<Record<string, Behaviour>>): Promise<RolloutFleet> {
    const made = new RolloutFleet({ v1: SOUND, ...behaviours });
    const onLaunch = (node: Node, platform: Platform, clock: Clock) =>
      made.#startProcess(node, platform, clock);
    made.fleet = await TestFleet.start({ sizes: SIZES, onLaunch });
    for (const { name } of made.fleet.alive) if (!isSpare(name)) made.announce(name, 'v1');
    await made.fleet.time.advance(3_000);
    return made;
  }

  get now(): number {
    return this.fleet.clock.now();
  }

  /** Writes the order of a version, and starts its endpoints a second later. */
  async order(version: string, durationMs: number): Promise<void> {
    const { platform } = this.fleet;
    const spec = { service: UPSTREAM, targetVersion: version, duration: `${durationMs}ms` };
    const before = await platform.get(KEY, this.now + CALL_MS);
    const value = JSON.stringify(spec);
    if (before) await platform.update(KEY, value, before.revision, this.now + CALL_MS);
    else await platform.create(KEY, value, this.now + CALL_MS);
    this.#orderedAt = this.now;
    await this.serve(1_000);
    this.startEndpoints(version);
  }

  /** Starts endpoints of a version at the processes that have none. */
  startEndpoints(version: string): void {
    for (const { name } of this.fleet.alive) if (isSpare(name)) this.announce(name, version);
  }

  announce(name: string, version: string): void {
    this.#versions.set(name, version);
    const { control } = this.fleet.nodes.get(name)!;
    control.roster.setEndpoint({ upstream: UPSTREAM, state: 'ready', slots: SLOTS, version });
  }

  kill(name: string): void {
    this.#processes.get(name)?.stopping.abort();
    this.#processes.delete(name);
    this.fleet.kill(name);
  }

  /** Restarts a process; its endpoint has been running all the time. */
  revive(name: string): void {
    this.fleet.launch(name, name.split('-')[0]!);
    this.announce(name, this.#versions.get(name) ?? 'v1');
  }

  /** Sends requests through all processes for `ms` milliseconds. */
  async serve(ms: number): Promise<void> {
    const until = this.now + ms;
    while (this.now < until) {
      for (let count = 0; count < REQUESTS_PER_STEP; count++) this.#sendRequest();
      await this.fleet.time.advance(STEP_MS);
    }
  }

  /** The status of the order at the platform. */
  async status(): Promise<unknown> {
    const stored = await this.fleet.platform.get(KEY, this.now + CALL_MS);
    return JSON.parse(stored?.status ?? 'null');
  }

  /** Number of live processes by the phase that they know of. */
  get phases(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { rollouts } of this.#processes.values()) {
      const phase = rollouts.orders.of(UPSTREAM)?.phase ?? 'unknown';
      counts[phase] = (counts[phase] ?? 0) + 1;
    }
    return counts;
  }

  /** Number of requests sent to a version since an instant. */
  count(version: string, since = 0): number {
    return this.sent.filter((one) => one.version === version && one.at >= since).length;
  }

  /** Whether a bad version got too many requests, or got some too long after its bad answers. */
  exposure(version: string): { readonly isTooMuch: boolean; readonly isTooLate: boolean } {
    const since = this.sent.filter(({ at }) => at >= this.#orderedAt);
    const own = since.filter((one) => one.version === version);
    const most = since.length * ALLOWED_SHARE + ALLOWED_SLACK;
    const known = own.filter(({ isBad }) => isBad)[BAD_ANSWERS - 1];
    const isLate = ({ at }: SentRequest) => known !== undefined && at > known.at + ROLL_BACK_MS;
    return { isTooMuch: own.length > most, isTooLate: own.some(isLate) };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const { stopping } of this.#processes.values()) stopping.abort();
    await this.fleet[Symbol.asyncDispose]();
  }

  #startProcess({ name, control }: Node, platform: Platform, clock: Clock): void {
    const { roster, readerRole, mesh, methods } = control;
    const random = new SeededRandom(SEED + this.#processes.size);
    const source = new ObjectOrders(platform);
    const log = new SilentLog();
    const allowedShare = ALLOWED_SHARE;
    const parts = { roster, readerRole, mesh, methods, clock, random, log, source, allowedShare };
    const rollouts = new Rollouts(parts);
    const balancer = new Balancer(roster, clock, random, rollouts.roles);
    const stopping = new AbortController();
    this.#processes.set(name, { rollouts, balancer, stopping });
    void rollouts.run(stopping.signal);
  }

  #sendRequest(): void {
    const entries = [...this.#processes.values()];
    const entry = entries[this.#random.below(entries.length)]!;
    const chosen = entry.balancer.first(UPSTREAM, 'browse');
    const name = chosen?.member.instance ?? '';
    const guard = this.#processes.get(name);
    const version = this.#versions.get(name);
    if (!chosen || !guard || version === undefined || guard.rollouts.isShut) return;
    const { failing, slower } = this.behaviours[version]!(this.now);
    const isFailure = this.#random.next() < failing;
    const tookMs = WORK_MS * slower * 2 ** (this.#random.next() * 2 - 1);
    this.sent.push({ at: this.now, version, isBad: isFailure || slower > 2 });
    void guard.rollouts.observe('browse', async () => {
      await this.fleet.clock.sleepUntil(this.now + tookMs);
      return { isFailure, tookMs };
    });
  }
}

/** True for two of the six processes of a data centre. */
function isSpare(name: string): boolean {
  return Number(name.split('-')[1]) > 4;
}

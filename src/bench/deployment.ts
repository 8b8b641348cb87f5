/** A platform and many proxies as real processes. */
import { type ReleaseNote, type Snapshot } from '../contracts.js';
import { type Acceptance } from '../source/acceptance.js';
import { Configuration } from '../configuration/configuration.js';
import { validate } from '../configuration/validate.js';
import { type Clock } from '../runtime/clock.js';
import { ResourceStack } from '../runtime/resource_stack.js';
import { Client } from '../tool/client.js';
import { BASELINE_HEAD, BASELINE_WHOLE } from './baseline.js';
import { getJson } from './http.js';
import { openingNote } from './notes.js';
import { Program, type Usage } from './processes.js';
import { HttpPlatform } from '../platform/http_platform.js';

export interface DeploymentOptions {
  readonly processes: number;
  readonly dataCentres: number;
  readonly profile: 'convergence' | 'bytes';
  /** Services of the first configuration; none is put in force when absent. */
  readonly services?: number;
}

/** A proxy of either kind, with what the bench has seen of it. */
export interface Proxy {
  readonly name: string;
  readonly args: readonly string[];
  program: Program;
  /** Highest version that it was seen to hold. */
  version: number;
  /** Times that it was seen with a lower version than before. */
  rollbacks: number;
}

/** How many processes are started at the same time. */
const STARTING_AT_ONCE = 16;
const SEEDS = 3;
const WAIT_MS = 5_000;
const LATE_MS = 30_000;
const PLATFORM_CALL_MS = 10_000;

/** What all deployments have in common: a platform, proxies, and the counting from outside. */
export abstract class Deployment implements AsyncDisposable {
  readonly proxies: Proxy[] = [];

  protected readonly owned = new ResourceStack();

  platform!: Program;

  constructor(
    protected readonly options: DeploymentOptions,
    readonly clock: Clock,
  ) {}

  /** Puts the next version in force; resolves to its number once it is accepted. */
  abstract accept(note: ReleaseNote): Promise<number>;

  protected abstract startProxy(name: string, index: number): Promise<Proxy>;

  /** Starts everything and waits until the first configuration is held everywhere. */
  async open(): Promise<void> {
    this.platform = this.owned.use(await Program.start('bench/platform_main', []));
    const { processes } = this.options;
    // The first one alone: were several to start without peers, each would be an island at first.
    await this.#startSome(0, 1);
    await this.#startSome(1, Math.min(SEEDS, processes));
    for (let from = SEEDS; from < processes; from += STARTING_AT_ONCE) {
      await this.#startSome(from, Math.min(from + STARTING_AT_ONCE, processes));
    }
    const { services } = this.options;
    if (services !== undefined) await this.putInForce(openingNote(services));
  }

  /** Resolves once every proxy was seen to hold the note's version; rejects if one is late. */
  async putInForce(note: ReleaseNote): Promise<number> {
    const number = await this.accept(note);
    await this.heldEverywhere(number);
    return number;
  }

  async heldEverywhere(number: number): Promise<void> {
    const deadline = this.clock.now() + LATE_MS;
    const held = await Promise.all(this.proxies.map((proxy) => this.held(proxy, number, deadline)));
    if (held.includes(undefined)) throw new Error(`version ${number} was not held everywhere`);
  }

  /** Times that a proxy was seen with a lower version than before. */
  get rollbacks(): number {
    return this.proxies.reduce((sum, proxy) => sum + proxy.rollbacks, 0);
  }

  get platformUrl(): string {
    return `http://127.0.0.1:${this.platform.ports.port}`;
  }

  /** Resolves to the instant at which the proxy was seen to hold `number`, or undefined if late. */
  async held(proxy: Proxy, number: number, deadline: number): Promise<number | undefined> {
    while (this.clock.now() < deadline) {
      const waitMs = Math.round(Math.min(WAIT_MS, deadline - this.clock.now()));
      const seen = await this.#look(proxy, `/version?above=${number - 1}&wait=${waitMs}`);
      if (seen !== undefined && seen >= number) return this.clock.now();
    }
    return undefined;
  }

  async usage(): Promise<readonly Usage[]> {
    return Promise.all(this.proxies.map(({ program }) => program.usage()));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.proxies.map(({ program }) => program.kill()));
    await this.owned[Symbol.asyncDispose]();
  }

  async #startSome(from: number, to: number): Promise<void> {
    const indices = Array.from({ length: to - from }, (_, offset) => from + offset);
    this.proxies.push(
      ...(await Promise.all(indices.map((index) => this.startProxy(`proxy-${index}`, index)))),
    );
  }

  async #look(proxy: Proxy, path: string): Promise<number | undefined> {
    try {
      const port = proxy.program.ports.operatorsPort!;
      const { number } = await getJson<{ number: number }>(port, path);
      if (number < proxy.version) proxy.rollbacks += 1;
      proxy.version = Math.max(proxy.version, number);
      return number;
    } catch {
      await this.clock.sleepUntil(this.clock.now() + 20);
      return undefined;
    }
  }
}

/** Ours: the daemon as it ships. */
export class Ours extends Deployment {
  /** Hands the note to one of the daemons. */
  async accept(note: ReleaseNote, to: Proxy = this.proxies[0]!): Promise<number> {
    const client = new Client(`127.0.0.1:${to.program.ports.operatorsPort}`);
    const acceptance = await client.call<Acceptance>('submit', note);
    if (acceptance.outcome !== 'accepted') throw new Error(JSON.stringify(acceptance));
    return acceptance.record.version.number;
  }

  /** What a proxy holds, checked here and not by itself. */
  async inspect(proxy: Proxy): Promise<{ whole: boolean; closed: boolean; number: number }> {
    const port = proxy.program.ports.operatorsPort!;
    const { number, digest, parent, resources } = await getJson<Snapshot>(port, '/configuration');
    const configuration = Configuration.of(number, digest, resources);
    return {
      number,
      whole: configuration.matchesDigest(parent),
      closed: validate(configuration).length === 0,
    };
  }

  /** Starts a killed proxy again, at the same ports. */
  async restart(proxy: Proxy): Promise<void> {
    const { callerPort, guardPort, linkPort, operatorsPort } = proxy.program.ports;
    const ports = [
      `--caller-port=${callerPort}`,
      `--guard-port=${guardPort}`,
      `--link-port=${linkPort}`,
      `--operators-port=${operatorsPort}`,
    ];
    proxy.program = await Program.start('barleyhavend', [...proxy.args, ...ports]);
  }

  protected async startProxy(name: string, index: number): Promise<Proxy> {
    const seeds = this.proxies.slice(0, SEEDS).map(({ program }) => program.ports.linkPort);
    const args = [
      `--instance=${name}`,
      `--data-centre=dc-${index % this.options.dataCentres}`,
      `--platform=${this.platformUrl}`,
      `--profile=${this.options.profile}`,
      ...(seeds.length > 0
        ? [`--peers=${seeds.map((port) => `127.0.0.1:${port}`).join(',')}`]
        : []),
    ];
    const anyPorts = ['caller', 'guard', 'link', 'operators'].map((kind) => `--${kind}-port=0`);
    const program = await Program.start('barleyhavend', [...args, ...anyPorts]);
    return { name, args, program, version: 0, rollbacks: 0 };
  }
}

/** The baseline: every proxy watches the source and reads it whole. */
export class Baseline extends Deployment {
  #number = 0;

  /** The configuration that the baseline's proxies read whole. */
  readonly #whole = openingNote(this.options.services ?? 0);

  async accept(): Promise<number> {
    const number = this.#number + 1;
    const deadline = this.clock.now() + PLATFORM_CALL_MS;
    await using platform = new HttpPlatform(new URL(this.platformUrl), this.clock);
    const value = JSON.stringify({ number, configuration: this.#whole });
    const before = await platform.get(BASELINE_WHOLE, deadline);
    if (before) await platform.update(BASELINE_WHOLE, value, before.revision, deadline);
    else await platform.create(BASELINE_WHOLE, value, deadline);
    const key = `${BASELINE_HEAD}/${String(number).padStart(12, '0')}`;
    await platform.create(key, JSON.stringify({ number }), deadline);
    this.#number = number;
    return number;
  }

  async restart(proxy: Proxy): Promise<void> {
    proxy.program = await Program.start('bench/baseline_main', proxy.args);
  }

  protected async startProxy(name: string): Promise<Proxy> {
    const args = [this.platformUrl, name];
    const program = await Program.start('bench/baseline_main', args);
    return { name, args, program, version: 0, rollbacks: 0 };
  }
}

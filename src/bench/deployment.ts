/** A platform and many proxies, each running as a process of its own. */
import { type ReleaseNote, type Snapshot } from '../contracts.js';
import { type Acceptance } from '../source/acceptance.js';
import { Configuration } from '../configuration/configuration.js';
import { validate } from '../configuration/validate.js';
import { type Clock } from '../runtime/clock.js';
import { ResourceStack } from '../runtime/resource_stack.js';
import { Client } from '../tool/client.js';
import { BASELINE_VERSIONS_PREFIX, BASELINE_CONFIGURATION_KEY } from './baseline.js';
import { getJson } from './json_client.js';
import { initialNote } from './notes.js';
import { Program, type Usage } from './processes.js';
import { HttpPlatform } from '../platform/http_platform.js';

export interface DeploymentOptions {
  readonly processes: number;
  readonly dataCentres: number;
  readonly profile: 'convergence' | 'bytes';
  /** Number of services in the initial configuration; none is submitted when absent. */
  readonly services?: number;
}

/** A daemon or a baseline proxy, with what was observed of it. */
export interface Proxy {
  readonly name: string;
  readonly args: readonly string[];
  program: Program;
  /** Highest version observed. */
  version: number;
  /** Number of times a lower version than before was observed. */
  rollbacks: number;
}

const MAX_PARALLEL_STARTS = 16;
const SEEDS = 3;
const LONG_POLL_MS = 5_000;
const CONVERGENCE_TIMEOUT_MS = 30_000;
const PLATFORM_CALL_TIMEOUT_MS = 10_000;

/** Base of all deployments: a platform and proxies, measured from outside their processes. */
export abstract class Deployment implements AsyncDisposable {
  readonly proxies: Proxy[] = [];

  protected readonly resources = new ResourceStack();

  platform!: Program;

  constructor(
    protected readonly options: DeploymentOptions,
    readonly clock: Clock,
  ) {}

  /** Submits the next version; resolves to its number once it is accepted. */
  abstract submit(note: ReleaseNote): Promise<number>;

  protected abstract startProxy(name: string, index: number): Promise<Proxy>;

  /** Starts all processes and waits until every proxy holds the initial configuration. */
  async open(): Promise<void> {
    this.platform = this.resources.use(await Program.start('bench/platform_main', []));
    const { processes } = this.options;
    // Proxies started together without peers would each form a mesh of one, so one starts alone.
    await this.#startRange(0, 1);
    await this.#startRange(1, Math.min(SEEDS, processes));
    for (let from = SEEDS; from < processes; from += MAX_PARALLEL_STARTS) {
      await this.#startRange(from, Math.min(from + MAX_PARALLEL_STARTS, processes));
    }
    const { services } = this.options;
    if (services !== undefined) await this.submitAndWait(initialNote(services));
  }

  /** Resolves once every proxy holds the note's version; rejects if one does not in time. */
  async submitAndWait(note: ReleaseNote): Promise<number> {
    const number = await this.submit(note);
    await this.waitUntilHeldEverywhere(number);
    return number;
  }

  async waitUntilHeldEverywhere(number: number): Promise<void> {
    const deadline = this.clock.now() + CONVERGENCE_TIMEOUT_MS;
    const instants = await Promise.all(
      this.proxies.map((proxy) => this.waitUntilHeld(proxy, number, deadline)),
    );
    if (instants.includes(undefined))
      throw new Error(
        `version ${number} did not reach all ${this.proxies.length} proxies within ${CONVERGENCE_TIMEOUT_MS} ms`,
      );
  }

  /** Number of times any proxy was observed with a lower version than before. */
  get rollbacks(): number {
    return this.proxies.reduce((sum, proxy) => sum + proxy.rollbacks, 0);
  }

  get platformUrl(): string {
    return `http://127.0.0.1:${this.platform.ports.port}`;
  }

  /**
   * Resolves to the instant at which the proxy was observed to hold version `number` or a later
   * one; undefined if it does not by the deadline.
   */
  async waitUntilHeld(proxy: Proxy, number: number, deadline: number): Promise<number | undefined> {
    while (this.clock.now() < deadline) {
      const waitMs = Math.round(Math.min(LONG_POLL_MS, deadline - this.clock.now()));
      const seen = await this.#fetchVersion(proxy, `/version?above=${number - 1}&wait=${waitMs}`);
      if (seen !== undefined && seen >= number) return this.clock.now();
    }
    return undefined;
  }

  async usage(): Promise<readonly Usage[]> {
    return Promise.all(this.proxies.map(({ program }) => program.usage()));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.proxies.map(({ program }) => program.kill()));
    await this.resources[Symbol.asyncDispose]();
  }

  async #startRange(from: number, to: number): Promise<void> {
    const indices = Array.from({ length: to - from }, (_, offset) => from + offset);
    this.proxies.push(
      ...(await Promise.all(indices.map((index) => this.startProxy(`proxy-${index}`, index)))),
    );
  }

  async #fetchVersion(proxy: Proxy, path: string): Promise<number | undefined> {
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

/** A deployment of `barleyhavend`, as it ships. */
export class DaemonDeployment extends Deployment {
  /** Submits the note to one of the daemons. */
  async submit(note: ReleaseNote, to: Proxy = this.proxies[0]!): Promise<number> {
    const client = new Client(`127.0.0.1:${to.program.ports.operatorsPort}`);
    const acceptance = await client.call<Acceptance>('submit', note);
    if (acceptance.outcome !== 'accepted') throw new Error(JSON.stringify(acceptance));
    return acceptance.record.version.number;
  }

  /** Checks the configuration of a proxy in this process, without relying on the proxy's checks. */
  async inspect(
    proxy: Proxy,
  ): Promise<{ isDigestValid: boolean; isConfigurationValid: boolean; number: number }> {
    const port = proxy.program.ports.operatorsPort!;
    const { number, digest, parent, resources } = await getJson<Snapshot>(port, '/configuration');
    const configuration = Configuration.of(number, digest, resources);
    return {
      number,
      isDigestValid: configuration.matchesDigest(parent),
      isConfigurationValid: validate(configuration).length === 0,
    };
  }

  /** Restarts a killed proxy on the same ports. */
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
    const portFlags = ['caller', 'guard', 'link', 'operators'].map((kind) => `--${kind}-port=0`);
    const program = await Program.start('barleyhavend', [...args, ...portFlags]);
    return { name, args, program, version: 0, rollbacks: 0 };
  }
}

/** A deployment of `baseline_main`: every proxy watches the platform for versions. */
export class BaselineDeployment extends Deployment {
  #number = 0;

  readonly #configuration = initialNote(this.options.services ?? 0);

  async submit(): Promise<number> {
    const number = this.#number + 1;
    const deadline = this.clock.now() + PLATFORM_CALL_TIMEOUT_MS;
    await using platform = new HttpPlatform(new URL(this.platformUrl), this.clock);
    const value = JSON.stringify({ number, configuration: this.#configuration });
    const before = await platform.get(BASELINE_CONFIGURATION_KEY, deadline);
    if (before) await platform.update(BASELINE_CONFIGURATION_KEY, value, before.revision, deadline);
    else await platform.create(BASELINE_CONFIGURATION_KEY, value, deadline);
    const key = `${BASELINE_VERSIONS_PREFIX}/${String(number).padStart(12, '0')}`;
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

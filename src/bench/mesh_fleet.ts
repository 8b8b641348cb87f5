/**
 * Processes built for the operators' platform, running on loopback with stand-ins for the store and
 * for the upstreams.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { type Agent } from 'node:http';
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { type Clock } from '../runtime/clock.js';
import { ResourceStack } from '../runtime/resource_stack.js';
import {
  callHeaders,
  type MeshMachine,
  meshMachine,
  configurationObject,
  PORTS,
  applyConfiguration,
  SETTINGS_VARIABLE,
  writeSettings,
} from '../standins/mesh_machine.js';
import { MeshUpstream, type MeshUpstreamOptions, WORK_HEADER } from '../standins/mesh_upstream.js';
import { PlatformServer } from '../standins/platform_server.js';
import { sendRequest } from './http_client.js';
import { type ProcessEnd } from './process_end.js';
import { Program } from './processes.js';

export interface MeshFleetOptions extends MeshUpstreamOptions {
  readonly processes: number;
  readonly dataCentres: number;
  readonly services: readonly string[];
  readonly routes: number;
  /** Module that each process loads before the program. */
  readonly preload?: string;
}

export interface SendOptions {
  /** A new connection for each request when absent. */
  readonly agent?: Agent;
  /** Time that the upstream instance works on it, in milliseconds; that of all requests when absent. */
  readonly workMs?: number;
}

const STORE_CALL_TIMEOUT_MS = 5_000;
const READY_TIMEOUT_MS = 90_000;
const POLL_MS = 100;
const OK = 200;
const ROOT = fileURLToPath(new URL('../../', import.meta.url));

export class MeshFleet implements AsyncDisposable {
  readonly machines: readonly MeshMachine[];

  readonly programs: Program[] = [];

  readonly upstreams: MeshUpstream[] = [];

  readonly #resources = new ResourceStack();

  /** All processes that were ever started. */
  readonly #launched: Program[] = [];

  #store!: PlatformServer;

  /** Path of the settings file of each machine. */
  readonly settingsPaths: string[] = [];

  #folder = '';

  #storePort = 0;

  #nodeArguments: string[] = [];

  #number = 0;

  #requestCount = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly options: MeshFleetOptions,
  ) {
    const { processes, dataCentres, services } = options;
    this.machines = Array.from({ length: processes }, (_, index) =>
      meshMachine(index, dataCentres, services),
    );
  }

  /** Publishes a configuration, then starts all processes at once. */
  static async start(clock: Clock, options: MeshFleetOptions): Promise<MeshFleet> {
    const fleet = new MeshFleet(clock, options);
    await fleet.#open();
    return fleet;
  }

  /** Total CPU time of all processes so far, in milliseconds. */
  async cpuMs(): Promise<number> {
    const usages = await Promise.all(this.programs.map((program) => program.usage()));
    return usages.reduce((sum, { cpuMs }) => sum + cpuMs, 0);
  }

  /** Resolves once every process reports that it is ready for callers. */
  async waitUntilReady(): Promise<void> {
    const deadline = this.clock.now() + READY_TIMEOUT_MS;
    for (const { name, host } of this.machines) {
      while (!(await isReady(host))) {
        if (this.clock.now() > deadline)
          throw new Error(`${name} was not ready within ${READY_TIMEOUT_MS} ms`);
        await this.clock.sleepUntil(this.clock.now() + POLL_MS);
      }
    }
  }

  /** Publishes the next version: the same routes and one more, whose index it resolves to. */
  async publishVersion(): Promise<number> {
    const { routes, services } = this.options;
    this.#number += 1;
    const value = configurationObject(this.#number, routes + this.#number, services);
    await applyConfiguration(this.#store.store, value, this.clock.now() + STORE_CALL_TIMEOUT_MS);
    return routes + this.#number - 1;
  }

  /** Sends one request to the entry of machine `index`; resolves to whether it got status 200. */
  async call(index: number, route: number): Promise<boolean> {
    this.#requestCount += 1;
    return (await this.send(index, route, `call-${this.#requestCount}`)) === OK;
  }

  /** Sends a request with that id; resolves to the status, and rejects without a whole response. */
  async send(index: number, route: number, id: string, how: SendOptions = {}): Promise<number> {
    const { agent, workMs } = how;
    const request = this.requestOf(index, route, id, workMs);
    const { status } = await sendRequest({ ...request, ...(agent && { agent }) });
    return status;
  }

  /** A request to the entry of machine `index` that upstream instances work on for that long. */
  requestOf(index: number, route: number, id: string, workMs?: number) {
    const { services } = this.options;
    const work: Record<string, number> = workMs === undefined ? {} : { [WORK_HEADER]: workMs };
    return {
      host: this.machines[index]!.host,
      port: PORTS.outbound,
      path: `/${services[route % services.length]}/${route}/${id}`,
      headers: { ...callHeaders(id), ...work },
    };
  }

  /** Whether an upstream instance has begun to work on the request with that id. */
  hasRun(id: string): boolean {
    return this.upstreams.some(({ workEndsAt }) => workEndsAt.has(id));
  }

  /** Until when upstream instances work on that request, in milliseconds since the epoch. */
  workEndsAt(id: string): number {
    return Math.max(...this.upstreams.map(({ workEndsAt }) => workEndsAt.get(id) ?? 0));
  }

  get routeCount(): number {
    return this.options.routes;
  }

  /** Kills the process of machine `index` and starts it again; its upstream instance keeps running. */
  async restart(index: number): Promise<void> {
    await this.programs[index]!.kill();
    this.relaunch(index);
  }

  /** Starts the process of machine `index` after it has ended. */
  relaunch(index: number): Program {
    const program = this.#launch(index);
    this.programs[index] = program;
    return program;
  }

  /** The last lines of the log of each process that was ever started, by its name and process id. */
  get logs(): ReadonlyMap<string, readonly string[]> {
    return new Map(this.#launched.map(({ name, pid, lines }) => [`${name}-${pid}`, lines]));
  }

  /** How processes have ended so far. */
  get ends(): ProcessEnd[] {
    return this.#launched.flatMap(({ end }) => end ?? []);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    // A graceful stop lets Node write a profile that flags such as `--cpu-prof` ask for.
    await Promise.all(this.programs.map((program) => program.stop()));
    await this.#resources[Symbol.asyncDispose]();
  }

  async #open(): Promise<void> {
    await buildForPlatform();
    const { preload } = this.options;
    this.#nodeArguments = [
      ...(preload ? ['--import', preload] : []),
      ...(await readNodeArguments()),
    ];
    this.#store = this.#resources.use(await PlatformServer.start(this.clock));
    await this.publishVersion();
    this.#folder = await mkdtemp(join(tmpdir(), 'barleyhaven-'));
    this.#resources.use({ [Symbol.asyncDispose]: () => rm(this.#folder, { recursive: true }) });
    this.#storePort = Number(this.#store.url.port);
    for (const machine of this.machines) {
      await this.#writeSettings(machine);
      const upstream = await MeshUpstream.start(this.clock, machine, this.options);
      this.upstreams.push(this.#resources.use(upstream));
    }
    for (const index of this.machines.keys()) this.programs.push(this.#launch(index));
  }

  async #writeSettings(machine: MeshMachine): Promise<void> {
    const path = join(this.#folder, `${machine.name}.json`);
    await writeSettings(path, machine, this.machines, this.#storePort);
    this.settingsPaths.push(path);
  }

  #launch(index: number): Program {
    const environment = { [SETTINGS_VARIABLE]: this.settingsPaths[index]! };
    const { name } = this.machines[index]!;
    const program = Program.launch(name, this.#nodeArguments, ROOT, environment);
    this.#launched.push(program);
    return this.#resources.use(program);
  }
}

async function buildForPlatform(): Promise<void> {
  const building = spawn(process.execPath, ['deploy/build.mjs'], { cwd: ROOT, stdio: 'inherit' });
  const [code] = (await once(building, 'exit')) as [number | null];
  if (code !== 0) throw new Error(`deploy/build.mjs failed with exit code ${code}`);
}

/** The arguments that `deploy/system.toml` passes to Node. */
async function readNodeArguments(): Promise<string[]> {
  const file = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run = ''] = /^run = "node (.*)"$/m.exec(file) ?? [];
  return run.split(' ');
}

async function isReady(host: string): Promise<boolean> {
  try {
    return (await sendRequest({ host, port: PORTS.ready, path: '/' })).status === OK;
  } catch {
    return false;
  }
}

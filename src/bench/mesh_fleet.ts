/** Processes of the operators' platform on loopback, as its build makes them, with all around them. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
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
  operatorsObject,
  PORTS,
  putInForce,
  writeSettings,
} from '../standins/mesh_machine.js';
import { MeshUpstream, type MeshUpstreamOptions } from '../standins/mesh_upstream.js';
import { PlatformServer } from '../standins/platform_server.js';
import { ask } from './caller.js';
import { Program } from './processes.js';

export interface MeshFleetOptions extends MeshUpstreamOptions {
  readonly processes: number;
  readonly dataCentres: number;
  readonly services: readonly string[];
  readonly routes: number;
}

const STORE_CALL_MS = 5_000;
const READY_MS = 90_000;
const POLL_MS = 100;
const OK = 200;
const ROOT = fileURLToPath(new URL('../../', import.meta.url));

export class MeshFleet implements AsyncDisposable {
  readonly machines: readonly MeshMachine[];

  readonly programs: Program[] = [];

  readonly #owned = new ResourceStack();

  #store!: PlatformServer;

  #folder = '';

  #number = 0;

  #asked = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly options: MeshFleetOptions,
  ) {
    const { processes, dataCentres, services } = options;
    this.machines = Array.from({ length: processes }, (_, index) =>
      meshMachine(index, dataCentres, services),
    );
  }

  /** Puts a configuration in force, then starts all processes at once. */
  static async start(clock: Clock, options: MeshFleetOptions): Promise<MeshFleet> {
    const fleet = new MeshFleet(clock, options);
    await fleet.#open();
    return fleet;
  }

  /** Processor time of all processes so far, in milliseconds. */
  async cpuMs(): Promise<number> {
    const usages = await Promise.all(this.programs.map((program) => program.usage()));
    return usages.reduce((sum, { cpuMs }) => sum + cpuMs, 0);
  }

  /** Resolves once every process would take callers. */
  async ready(): Promise<void> {
    const deadline = this.clock.now() + READY_MS;
    for (const { name, host } of this.machines) {
      while (!(await isReady(host))) {
        if (this.clock.now() > deadline) throw new Error(`${name} did not become ready`);
        await this.clock.sleepUntil(this.clock.now() + POLL_MS);
      }
    }
  }

  /** Puts the next version in force: the same routes, and one more. */
  async accept(): Promise<void> {
    const { routes, services } = this.options;
    this.#number += 1;
    const value = operatorsObject(this.#number, routes + this.#number, services);
    await putInForce(this.#store.store, value, this.clock.now() + STORE_CALL_MS);
  }

  /** One request of a caller beside machine number `index`; resolves to whether it was served. */
  async call(index: number, route: number): Promise<boolean> {
    const { services } = this.options;
    this.#asked += 1;
    const { status } = await ask({
      host: this.machines[index]!.host,
      port: PORTS.outbound,
      path: `/${services[route % services.length]}/${route}/${this.#asked}`,
      headers: callHeaders(`call-${this.#asked}`),
    });
    return status === OK;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    // Asked to stop, so that a profile that the bench's flags ask for is written.
    await Promise.all(this.programs.map((program) => program.stop()));
    await this.#owned[Symbol.asyncDispose]();
  }

  async #open(): Promise<void> {
    await buildForPlatform();
    const words = await runWords();
    this.#store = this.#owned.use(await PlatformServer.start(this.clock));
    await this.accept();
    this.#folder = await mkdtemp(join(tmpdir(), 'barleyhaven-'));
    this.#owned.use({ [Symbol.asyncDispose]: () => rm(this.#folder, { recursive: true }) });
    for (const machine of this.machines) {
      this.#owned.use(await MeshUpstream.start(this.clock, machine, this.options));
    }
    const storePort = Number(this.#store.url.port);
    for (const machine of this.machines) {
      const path = join(this.#folder, `${machine.name}.json`);
      const environment = await writeSettings(path, machine, this.machines, storePort);
      this.programs.push(this.#owned.use(Program.launch(words, ROOT, environment)));
    }
  }
}

async function buildForPlatform(): Promise<void> {
  const building = spawn(process.execPath, ['deploy/build.mjs'], { cwd: ROOT, stdio: 'inherit' });
  const [code] = (await once(building, 'exit')) as [number | null];
  if (code !== 0) throw new Error('the build for the platform fails');
}

/** What the deploy file starts on a machine, without the name of Node itself. */
async function runWords(): Promise<string[]> {
  const file = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run = ''] = /^run = "node (.*)"$/m.exec(file) ?? [];
  return run.split(' ');
}

async function isReady(host: string): Promise<boolean> {
  try {
    return (await ask({ host, port: PORTS.ready, path: '/' })).status === OK;
  } catch {
    return false;
  }
}

/** Daemons and upstream instances, each a process of its own, for the request experiments. */
import { type ReleaseNoteInput, ReleaseNote } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { DaemonDeployment, type Proxy } from './deployment.js';
import { getJson } from './json_client.js';
import { Program } from './processes.js';

export interface RequestPathOptions {
  readonly daemons: number;
  /** How many of the daemons, counted from the last, serve an upstream instance. */
  readonly upstreams: number;
  readonly slots: number;
  readonly delayMs: number;
  readonly timeoutMs: number;
}

const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 50;

export class RequestPath implements AsyncDisposable {
  readonly upstreams: Program[] = [];

  private constructor(
    readonly deployment: DaemonDeployment,
    private readonly clock: Clock,
  ) {}

  /** Starts all processes and waits until every daemon is ready and knows all endpoints. */
  static async start(clock: Clock, options: RequestPathOptions): Promise<RequestPath> {
    const shape = { processes: options.daemons, dataCentres: 1, profile: 'convergence' } as const;
    const path = new RequestPath(new DaemonDeployment(shape, clock), clock);
    try {
      await path.#open(options);
      return path;
    } catch (error) {
      // Processes that were already started would keep running and keep this one from exiting.
      await path[Symbol.asyncDispose]();
      throw error;
    }
  }

  async #open(options: RequestPathOptions): Promise<void> {
    await this.deployment.open();
    for (const { program } of this.deployment.proxies.slice(-options.upstreams)) {
      const args = ['suppers', program.ports.operatorsPort, options.slots, options.delayMs];
      this.upstreams.push(await Program.start('bench/upstream_main', args.map(String)));
    }
    await this.deployment.submit(releaseNote(options));
    await this.#waitUntilReady();
  }

  /** The daemons that callers use: those without an upstream instance. */
  get entries(): readonly Proxy[] {
    return this.deployment.proxies.slice(0, -this.upstreams.length);
  }

  /** The daemons that serve an upstream instance. */
  get guards(): readonly Proxy[] {
    return this.deployment.proxies.slice(-this.upstreams.length);
  }

  /** How often each request was run so far, by request id; one record per upstream instance. */
  runs(): Promise<Record<string, number>[]> {
    return Promise.all(
      this.upstreams.map(({ ports }) => getJson<Record<string, number>>(ports.controlPort!, '/')),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.upstreams.map((upstream) => upstream.kill()));
    await this.deployment[Symbol.asyncDispose]();
  }

  async #waitUntilReady(): Promise<void> {
    const deadline = this.clock.now() + READY_TIMEOUT_MS;
    for (const { name, program } of this.deployment.proxies) {
      while (!(await this.#seesAllUpstreams(program.ports.operatorsPort!))) {
        if (this.clock.now() > deadline)
          throw new Error(`${name} was not ready within ${READY_TIMEOUT_MS} ms`);
        await this.clock.sleepUntil(this.clock.now() + POLL_MS);
      }
    }
  }

  async #seesAllUpstreams(port: number): Promise<boolean> {
    const { ready } = await getJson<{ ready: boolean }>(port, '/ready');
    const { endpoints } = await getJson<{ endpoints: number }>(port, '/endpoints');
    return ready && endpoints === this.upstreams.length;
  }
}

function releaseNote({ slots, timeoutMs }: RequestPathOptions): ReleaseNote {
  return ReleaseNote.parse({
    id: 'suppers',
    author: 'bench',
    add: {
      upstreams: [{ name: 'suppers' }],
      limits: [{ name: 'standard', slots }],
      routes: [
        {
          name: 'suppers',
          pathPrefix: '/suppers',
          upstream: 'suppers',
          limit: 'standard',
          timeoutMs,
          repeatable: false,
        },
      ],
    },
  } satisfies ReleaseNoteInput);
}

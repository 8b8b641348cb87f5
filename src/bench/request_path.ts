/** Upstream instances with daemons beside them, as processes, for experiments on requests. */
import { type ReleaseNoteInput, ReleaseNote } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { Ours, type Proxy } from './deployment.js';
import { getJson } from './http.js';
import { Program } from './processes.js';

export interface RequestPathOptions {
  readonly daemons: number;
  /** How many of the daemons, counted from the last, have an upstream instance beside them. */
  readonly upstreams: number;
  readonly slots: number;
  readonly delayMs: number;
  readonly timeoutMs: number;
}

const READY_MS = 15_000;
const POLL_MS = 50;

export class RequestPath implements AsyncDisposable {
  readonly upstreams: Program[] = [];

  private constructor(
    readonly ours: Ours,
    private readonly clock: Clock,
  ) {}

  /** Starts all and waits until a first request is answered by every daemon. */
  static async start(clock: Clock, options: RequestPathOptions): Promise<RequestPath> {
    const shape = { processes: options.daemons, dataCentres: 1, profile: 'convergence' } as const;
    const path = new RequestPath(new Ours(shape, clock), clock);
    try {
      await path.#open(options);
      return path;
    } catch (error) {
      // Its processes would outlive the bench and keep it from ending.
      await path[Symbol.asyncDispose]();
      throw error;
    }
  }

  async #open(options: RequestPathOptions): Promise<void> {
    await this.ours.open();
    for (const { program } of this.ours.proxies.slice(-options.upstreams)) {
      const args = ['suppers', program.ports.operatorsPort, options.slots, options.delayMs];
      this.upstreams.push(await Program.start('bench/upstream_main', args.map(String)));
    }
    await this.ours.accept(note(options));
    await this.#answering();
  }

  /** Ports that callers use: of the daemons with no upstream instance beside them. */
  get entries(): readonly Proxy[] {
    return this.ours.proxies.slice(0, -this.upstreams.length);
  }

  get guards(): readonly Proxy[] {
    return this.ours.proxies.slice(-this.upstreams.length);
  }

  /** What every upstream instance has run so far, by request id. */
  runs(): Promise<Record<string, number>[]> {
    return Promise.all(
      this.upstreams.map(({ ports }) => getJson<Record<string, number>>(ports.controlPort!, '/')),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.upstreams.map((upstream) => upstream.kill()));
    await this.ours[Symbol.asyncDispose]();
  }

  async #answering(): Promise<void> {
    const deadline = this.clock.now() + READY_MS;
    for (const { name, program } of this.ours.proxies) {
      while (!(await this.#seesAll(program.ports.operatorsPort!))) {
        if (this.clock.now() > deadline) throw new Error(`${name} did not become ready`);
        await this.clock.sleepUntil(this.clock.now() + POLL_MS);
      }
    }
  }

  async #seesAll(port: number): Promise<boolean> {
    const { ready } = await getJson<{ ready: boolean }>(port, '/ready');
    const { endpoints } = await getJson<{ endpoints: number }>(port, '/endpoints');
    return ready && endpoints === this.upstreams.length;
  }
}

function note({ slots, timeoutMs }: RequestPathOptions): ReleaseNote {
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

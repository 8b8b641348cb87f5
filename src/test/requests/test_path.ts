/** One entry and several guards with upstream instances, over real HTTP on loopback. */
import { Agent, type IncomingMessage, type OutgoingHttpHeaders, request } from 'node:http';
import { type AddressInfo } from 'node:net';
import { Configuration } from '../../configuration/configuration.js';
import { type Endpoint, type Member, Resource } from '../../contracts.js';
import { Roster } from '../../membership/roster.js';
import { Balancer } from '../../placement/balancer.js';
import { Entry } from '../../requests/entry.js';
import { Uplink } from '../../admission/uplink.js';
import { DEFAULT_DIALECT } from '../../requests/default_dialect.js';
import { Guard } from '../../requests/guard.js';
import { type Clock, MachineClock } from '../../runtime/clock.js';
import { ResourceStack } from '../../runtime/resource_stack.js';
import { SeededRandom } from '../../runtime/random.js';
import { closeServer, listen, LOOPBACK } from '../../standins/listen.js';
import { sendRaw } from './send_raw.js';
import { UpstreamServer } from '../../standins/upstream_server.js';

const RESOURCES: readonly Resource[] = [
  { kind: 'upstream', name: 'bookings' },
  { kind: 'limit', name: 'standard', slots: 20 },
  { kind: 'limit', name: 'narrow', slots: 1, queue: 1 },
  { kind: 'route', name: 'menus', pathPrefix: '/menus', upstream: 'bookings', limit: 'standard' },
  { kind: 'route', name: 'short', pathPrefix: '/short', upstream: 'bookings', timeoutMs: 150 },
  { kind: 'route', name: 'narrow', pathPrefix: '/narrow', upstream: 'bookings', limit: 'narrow' },
  { kind: 'route', name: 'nobody', pathPrefix: '/nobody', upstream: 'nobody' },
  {
    kind: 'route',
    name: 'seats',
    pathPrefix: '/seats',
    upstream: 'bookings',
    repeatable: false,
    maxBodyBytes: 1 << 20,
  },
].map((resource) => Resource.parse(resource));

/** A guard with its upstream instance. */
export interface TestEndpoint {
  readonly name: string;
  readonly guard: Guard;
  readonly upstream: UpstreamServer;
}

export interface TestRequest {
  readonly path: string;
  readonly method?: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  /** A new connection for each request when absent. */
  readonly agent?: Agent;
}

export interface Answer {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly trailers: NodeJS.Dict<string>;
  readonly body: string;
}

export class TestPath implements AsyncDisposable {
  readonly endpoints: TestEndpoint[] = [];

  readonly roster: Roster;

  readonly entry: Entry;

  #port = 0;

  readonly #owned = new ResourceStack();

  private constructor(
    readonly clock: Clock,
    private readonly uplinkKbps: number | undefined,
  ) {
    this.configuration = Configuration.empty.next({ put: [...RESOURCES], remove: [] });
    this.roster = new Roster(memberOf('entry', 1));
    const random = new SeededRandom(7);
    const balancer = new Balancer(this.roster, clock, random);
    this.entry = this.#owned.use(
      new Entry(
        () => this.configuration,
        () => this.isReady,
        balancer,
        clock,
        random,
      ),
    );
  }

  /** The configuration in force. */
  configuration: Configuration;

  /** Whether the process of the entry has a configuration. */
  isReady = true;

  static async start(
    endpoints = 1,
    clock: Clock = new MachineClock(),
    uplinkKbps?: number,
  ): Promise<TestPath> {
    const path = new TestPath(clock, uplinkKbps);
    path.#port = await listen(path.entry.server);
    for (let index = 0; index < endpoints; index++) await path.#add(`endpoint-${index}`);
    return path;
  }

  get port(): number {
    return this.#port;
  }

  /** How often the request with that `x-request` has run, at all upstream instances together. */
  runs(id: string): number {
    return this.endpoints.reduce((sum, { upstream }) => sum + (upstream.runs.get(id) ?? 0), 0);
  }

  /** Resolves to the complete response; rejects if it was cut. */
  ask(options: TestRequest): Promise<Answer> {
    return ask(this.#port, options);
  }

  /** Writes raw bytes and resolves to everything received until the connection closes. */
  raw(text: string): Promise<string> {
    return sendRaw(this.#port, text);
  }

  /**
   * Ends the process beside an upstream instance; another takes its place and knows nothing. The
   * entry serves a request in between, and so notices that the endpoint is gone.
   */
  async replaceGuard(index: number): Promise<Guard> {
    const { guard, ...endpoint } = this.endpoints[index]!;
    const { endpoint: announced, ...before } = this.roster.get(endpoint.name)!;
    const started = { ...before, incarnation: before.incarnation + 1 };
    const { port } = guard.server.address() as AddressInfo;
    await guard[Symbol.asyncDispose]();
    await closeServer(guard.server);
    this.roster.merge([started]);
    await this.ask({ path: '/menus' });
    const successor = this.#owned.use(new Guard(this.clock));
    successor.configuration = guard.configuration;
    successor.announce({ ...guard.announced!, coldMs: 0 });
    await listen(successor.server, port);
    const sequence = started.sequence + 1;
    this.roster.merge([{ ...started, sequence, ...(announced && { endpoint: announced }) }]);
    this.endpoints[index] = { ...endpoint, guard: successor };
    return successor;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }

  async #add(name: string): Promise<void> {
    const guard = this.#owned.use(
      new Guard(this.clock, DEFAULT_DIALECT, new Uplink(this.clock, this.uplinkKbps)),
    );
    guard.configuration = () => this.configuration;
    const upstream = this.#owned.use(
      await UpstreamServer.start(this.clock, { upstream: 'bookings' }),
    );
    const endpoint: Endpoint = { upstream: 'bookings', state: 'ready', slots: 20 };
    guard.announce({ ...endpoint, host: LOOPBACK, port: upstream.port });
    const guardPort = await listen(guard.server);
    this.roster.merge([{ ...memberOf(name, guardPort), endpoint }]);
    this.endpoints.push({ name, guard, upstream });
  }
}

export function memberOf(instance: string, guardPort: number, dataCentre = 'arima'): Member {
  return {
    instance,
    dataCentre,
    host: LOOPBACK,
    linkPort: 1,
    guardPort,
    operatorsPort: 1,
    incarnation: 1,
    sequence: 1,
    liveness: 'alive',
  };
}

/** Resolves to the complete response; rejects if it was cut. */
export function ask(port: number, options: TestRequest): Promise<Answer> {
  const { path, method = 'GET', headers = {}, body, agent = false } = options;
  return new Promise((resolve, reject) => {
    const sent = request({ host: LOOPBACK, port, path, method, headers, agent }, (answer) => {
      void collect(answer).then(resolve, reject);
    });
    sent.on('error', reject);
    sent.end(body);
  });
}

async function collect(answer: IncomingMessage): Promise<Answer> {
  const chunks: Buffer[] = [];
  for await (const chunk of answer) chunks.push(chunk as Buffer);
  const { statusCode: status = 0, headers, trailers } = answer;
  return { status, headers, trailers, body: Buffer.concat(chunks).toString('latin1') };
}

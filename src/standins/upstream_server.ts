/** Stand-in for an upstream instance: answers over HTTP, announces itself, counts what it runs. */
import {
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from 'node:http';
import PQueue from 'p-queue';
import { type EndpointState } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { listen, LOOPBACK, shut } from './listen.js';

export interface UpstreamOptions {
  readonly upstream: string;
  readonly slots?: number;
  /** Time an answer takes, in milliseconds. */
  readonly delayMs?: number;
}

const DEFAULT_SLOTS = 20;
const ANNOUNCE_EVERY_MS = 500;

export class UpstreamServer implements AsyncDisposable {
  /** How often each `x-request` of a caller was run. */
  readonly runs = new Map<string, number>();

  state: EndpointState = 'ready';

  delayMs: number;

  readonly #server: Server;

  #port = 0;

  #inFlight = 0;

  /** Requests beyond the slots wait inside the upstream, whether or not anybody still does. */
  readonly #slots: PQueue;

  readonly #stopping = new AbortController();

  private constructor(
    private readonly clock: Clock,
    private readonly options: UpstreamOptions,
  ) {
    this.delayMs = options.delayMs ?? 0;
    this.#slots = new PQueue({ concurrency: options.slots ?? DEFAULT_SLOTS });
    this.#server = createServer((incoming, response) => void this.#serve(incoming, response));
    this.#server.keepAliveTimeout = 60_000;
  }

  static async start(clock: Clock, options: UpstreamOptions): Promise<UpstreamServer> {
    const upstream = new UpstreamServer(clock, options);
    upstream.#port = await listen(upstream.#server);
    return upstream;
  }

  get port(): number {
    return this.#port;
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  /** Announces itself to the process beside it, again and again until disposed. */
  async announceTo(operatorsPort: number): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      await this.announceOnce(operatorsPort).catch(() => {});
      await this.clock.sleepUntil(this.clock.now() + ANNOUNCE_EVERY_MS, this.#stopping.signal);
    }
  }

  announceOnce(operatorsPort: number): Promise<void> {
    const body = JSON.stringify({
      upstream: this.options.upstream,
      state: this.state,
      slots: this.options.slots ?? DEFAULT_SLOTS,
      host: LOOPBACK,
      port: this.#port,
    });
    return new Promise((resolve, reject) => {
      const outgoing = request(
        { host: LOOPBACK, port: operatorsPort, method: 'PUT', path: '/announcement' },
        (answer) => {
          answer.resume();
          answer.on('end', resolve);
        },
      );
      outgoing.on('error', reject);
      outgoing.end(body);
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    await shut(this.#server);
  }

  async #work(): Promise<void> {
    if (this.delayMs === 0) return;
    await this.#slots.add(() => this.clock.sleepUntil(this.clock.now() + this.delayMs));
  }

  async #serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#inFlight += 1;
    const id = String(incoming.headers['x-request'] ?? 'unnamed');
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    incoming.resume();
    await this.#work();
    const body = JSON.stringify({ upstream: this.options.upstream, request: id });
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      'x-request': id,
    });
    response.end(body);
    this.#inFlight -= 1;
  }
}

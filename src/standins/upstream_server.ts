/** Stand-in for an upstream instance: serves HTTP, announces itself and counts the requests it runs. */
import { EventEmitter } from 'node:events';
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
import { listen, LOOPBACK, closeServer } from './listen.js';
import { type Conduct, conductOf } from './upstream_conduct.js';

export interface UpstreamOptions {
  readonly upstream: string;
  /** The id that it announces; none if absent. */
  readonly id?: string;
  readonly slots?: number;
  /** Time that each request takes, in milliseconds. */
  readonly delayMs?: number;
  /** How it responds to requests without an `x-conduct` header; correctly if absent. */
  readonly conduct?: Conduct;
}

const DEFAULT_SLOTS = 20;
const ANNOUNCE_EVERY_MS = 500;

/**
 * Emits, with the `x-request` header of the request, `run` when a request begins, `answered` when its
 * response is sent and `cancelled` if the client disconnects first; and `disconnected` when a
 * connection closes.
 */
export class UpstreamServer extends EventEmitter implements AsyncDisposable {
  /** Number of runs by `x-request` header. */
  readonly runs = new Map<string, number>();

  state: EndpointState = 'ready';

  delayMs: number;

  conduct: Conduct | undefined;

  readonly #server: Server;

  #port = 0;

  #inFlight = 0;

  #connections = 0;

  /** Requests beyond the slots queue inside the upstream, even if their client has disconnected. */
  readonly #slots: PQueue;

  readonly #stopping = new AbortController();

  private constructor(
    private readonly clock: Clock,
    private readonly options: UpstreamOptions,
  ) {
    super();
    this.delayMs = options.delayMs ?? 0;
    this.conduct = options.conduct;
    this.#slots = new PQueue({ concurrency: options.slots ?? DEFAULT_SLOTS });
    this.#server = createServer((incoming, response) => void this.#serve(incoming, response));
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on('connection', (socket) => {
      this.#connections += 1;
      socket.once('close', () => this.emit('disconnected'));
    });
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

  /** Connections accepted so far. */
  get connections(): number {
    return this.#connections;
  }

  /** Announces itself periodically to the process beside it, until disposed. */
  async announceTo(operatorsPort: number): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      await this.announce(operatorsPort).catch(() => {});
      await this.clock.sleepUntil(this.clock.now() + ANNOUNCE_EVERY_MS, this.#stopping.signal);
    }
  }

  announce(operatorsPort: number): Promise<void> {
    const body = JSON.stringify({
      upstream: this.options.upstream,
      id: this.options.id,
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

  /** Simulates a crash: the port closes and all connections break. */
  async crash(): Promise<void> {
    await closeServer(this.#server);
  }

  /** Listens on the same port again. */
  async restart(): Promise<void> {
    await listen(this.#server, this.#port);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    if (this.#server.listening) await closeServer(this.#server);
  }

  async #serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = String(incoming.headers['x-request'] ?? 'unnamed');
    this.#inFlight += 1;
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    response.once('close', () => {
      this.#inFlight -= 1;
      this.emit(response.writableFinished ? 'answered' : 'cancelled', id);
    });
    this.emit('run', id, incoming);
    await this.#simulateWork();
    const { upstream } = this.options;
    const conduct = conductOf(incoming.headers['x-conduct']) ?? this.conduct;
    await this.#respond(conduct ?? conductOf('whole')!, { incoming, response, id, upstream });
  }

  async #simulateWork(): Promise<void> {
    if (this.delayMs === 0) return;
    await this.#slots.add(() => this.clock.sleepUntil(this.clock.now() + this.delayMs));
  }

  /** Ignores errors of clients that disconnect while their request is read. */
  async #respond(conduct: Conduct, received: ReceivedRequest): Promise<void> {
    try {
      if (await conduct.answer(received)) await this.crash();
    } catch (error) {
      if (!received.incoming.errored) throw error;
    }
  }
}

/** A request being served, with its response. */
export interface ReceivedRequest {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly id: string;
  readonly upstream: string;
}

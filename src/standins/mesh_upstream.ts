/** Stand-in for an upstream instance on the operators' platform: serves requests and sends heartbeats. */
import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  request,
  type Server,
  type ServerResponse,
} from 'node:http';
import { bind } from '../daemon/bind.js';
import { type Clock } from '../runtime/clock.js';
import { HEALTH_PATH, type MeshMachine, PORTS } from './mesh_machine.js';
import { closeServer } from './listen.js';

const REPORT_EVERY_MS = 1_500;
const SLOTS = 13;
/** Header in which a test or experiment tells how long a request takes, in milliseconds. */
export const WORK_HEADER = 'x-work-ms';

export interface MeshUpstreamOptions {
  /** Delay before each response, in milliseconds. */
  readonly delayMs: number;
  /** Size of each response body. */
  readonly bytes: number;
}

export class MeshUpstream implements AsyncDisposable {
  /** Headers in which it states something about itself, in each response. */
  statements: OutgoingHttpHeaders = {};

  /** Instants at which requests arrived, health checks aside, in milliseconds since the epoch. */
  readonly arrivals: number[] = [];

  /**
   * Instants until which it works on requests, by their ids, in milliseconds since the epoch; later than
   * planned where this process was late.
   */
  readonly workEndsAt = new Map<string, number>();

  readonly #server: Server;

  readonly #stopping = new AbortController();

  readonly #body: Buffer;

  #born = Date.now();

  #isDown = false;

  #sequence = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly machine: MeshMachine,
    private readonly options: MeshUpstreamOptions,
  ) {
    this.#body = Buffer.alloc(options.bytes, 'x');
    this.#server = createServer((incoming, response) => void this.#answer(incoming, response));
    this.#server.keepAliveTimeout = 60_000;
  }

  static async start(
    clock: Clock,
    machine: MeshMachine,
    options: MeshUpstreamOptions,
  ): Promise<MeshUpstream> {
    const upstream = new MeshUpstream(clock, machine, options);
    await bind(upstream.#server, machine.host, PORTS.upstream);
    void upstream.#reportRepeatedly();
    return upstream;
  }

  /** Cuts all connections, and serves again after that time as a new run of the instance. */
  async restart(downMs: number): Promise<void> {
    if (this.#isDown) return;
    this.#isDown = true;
    await closeServer(this.#server);
    await this.clock.sleepUntil(this.clock.now() + downMs);
    this.#born = Date.now();
    this.#sequence = 0;
    await bind(this.#server, this.machine.host, PORTS.upstream);
    this.#isDown = false;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    await closeServer(this.#server);
  }

  async #answer(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    incoming.resume();
    const now = this.clock.now();
    const endsAt = now + Number(incoming.headers[WORK_HEADER] ?? this.options.delayMs);
    if (incoming.url !== HEALTH_PATH) this.arrivals.push(now);
    const id = String(incoming.headers['barleyhaven-request-id']);
    this.workEndsAt.set(id, endsAt);
    await this.clock.sleepUntil(endsAt);
    this.workEndsAt.set(id, this.clock.now());
    response.writeHead(200, {
      'content-length': this.#body.length,
      'barleyhaven-request-id': incoming.headers['barleyhaven-request-id'] ?? '',
      'barleyhaven-response-signature': 'stand-in',
      'barleyhaven-instance-id': this.machine.name,
      'barleyhaven-server-load': `1,0,${SLOTS}`,
      ...this.statements,
    });
    response.end(this.#body);
  }

  async #reportRepeatedly(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      if (!this.#isDown) await this.#reportOnce().catch(() => {});
      const next = this.clock.now() + REPORT_EVERY_MS;
      await this.clock.sleepUntil(next, this.#stopping.signal);
    }
  }

  #reportOnce(): Promise<void> {
    const { name, host, service, dataCentre } = this.machine;
    this.#sequence += 1;
    const body = JSON.stringify({
      service,
      address: `${host}:${PORTS.upstream}`,
      zone: dataCentre,
      version: 'v1',
      slots: SLOTS,
      state: 'ready',
      coldRemaining: '0ms',
      sequence: this.#sequence,
      born: this.#born,
    });
    const path = `/api/rpc?call=instances.heartbeat&of=${name}`;
    return new Promise((resolve, reject) => {
      const outgoing = request({ host, port: PORTS.control, method: 'POST', path }, (answer) => {
        answer.resume();
        answer.on('end', resolve);
      });
      outgoing.on('error', reject);
      outgoing.end(body);
    });
  }
}

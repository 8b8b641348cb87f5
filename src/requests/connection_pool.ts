/** Keep-alive connections to the next hop. */
import { type Agent } from 'node:http';
import { type Socket } from 'node:net';
import { type Duplex } from 'node:stream';
import { type Clock } from '../runtime/clock.js';
import { KeepAliveAgent } from '../runtime/keep_alive_agent.js';

/** Idle connections are closed after this long, well before the far end closes them, in milliseconds. */
const IDLE_TIMEOUT_MS = 30_000;
/** A connection is taken for alive for this long after its last response, in milliseconds. */
const MAX_UNVERIFIED_IDLE_MS = 1_000;

/**
 * Keeps idle connections and the time of the last response on each. A connection carries one request
 * at a time; the most recently used one is reused first, as it is the most likely to be alive.
 */
export class ConnectionPool extends KeepAliveAgent {
  readonly #lastResponseAt = new WeakMap<Duplex, number>();

  constructor(
    private readonly clock: Clock,
    maxSockets: number,
  ) {
    super({
      noDelay: true,
      scheduling: 'lifo',
      timeout: IDLE_TIMEOUT_MS,
      maxSockets,
    });
  }

  /**
   * Closes the idle connections without a recent response. Such a connection may be dead, or the far
   * end may be closing it: a request sent over it is lost, and whether it ran is unknown. A new
   * connection takes about a millisecond, and fails before the request can run.
   */
  closeStale(host: string, port: number): void {
    const idle = this.freeSockets[this.getName({ host, port })];
    if (!idle) return;
    const freshSince = this.clock.now() - MAX_UNVERIFIED_IDLE_MS;
    // Idle sockets are in the order of their last use, oldest first.
    const isStale = (socket: Socket) => (this.#lastResponseAt.get(socket) ?? 0) < freshSince;
    if (isStale(idle[0]!)) idle.filter(isStale).forEach((socket) => socket.destroy());
  }

  override keepSocketAlive(socket: Duplex): boolean {
    this.#lastResponseAt.set(socket, this.clock.now());
    // Unsolicited bytes would be taken for the response to the next request.
    socket.on('data', destroyOnData);
    return super.keepSocketAlive(socket) as unknown as boolean;
  }

  override reuseSocket(...[socket, request]: Parameters<Agent['reuseSocket']>): void {
    socket.off('data', destroyOnData);
    super.reuseSocket(socket, request);
  }
}

function destroyOnData(this: Duplex): void {
  this.destroy();
}

/** Connections kept open to the next hop. */
import { Agent } from 'node:http';
import { type Socket } from 'node:net';
import { type Duplex } from 'node:stream';
import { type Clock } from '../runtime/clock.js';

/** Idle connections are closed after this long, well before the far end would, in milliseconds. */
const IDLE_MS = 30_000;
/** An answer this long ago still shows that a connection is alive, in milliseconds. */
const PROVED_MS = 1_000;

/**
 * Keeps idle connections and knows when each last carried an answer. One request at a time goes
 * over a connection; the one used last is used next, so that it is the best proved.
 */
export class Connections extends Agent {
  readonly #provedAt = new WeakMap<Duplex, number>();

  constructor(
    private readonly clock: Clock,
    maxSockets: number,
  ) {
    super({ keepAlive: true, noDelay: true, scheduling: 'lifo', timeout: IDLE_MS, maxSockets });
  }

  /**
   * Closes the idle connections that have not proved themselves moments ago. A connection may
   * have gone silent, or the far end may be closing it: what is sent over it is lost, and nobody
   * can tell whether it ran. A new one takes about a millisecond, and fails before anything runs.
   */
  retireUnproved(host: string, port: number): void {
    const idle = this.freeSockets[this.getName({ host, port })];
    if (!idle) return;
    const provedSince = this.clock.now() - PROVED_MS;
    // They stand in the order of their last use.
    const isOld = (socket: Socket) => (this.#provedAt.get(socket) ?? 0) < provedSince;
    if (isOld(idle[0]!)) idle.filter(isOld).forEach((socket) => socket.destroy());
  }

  override keepSocketAlive(socket: Duplex): boolean {
    this.#provedAt.set(socket, this.clock.now());
    // Bytes that nobody asked for would be taken for the answer to the next request.
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

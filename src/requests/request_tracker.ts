/** Counts the requests of a server that are in flight, and shuts it down without cutting them off. */
import { type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import { type Clock } from '../runtime/clock.js';
import { TrackedConnection } from './tracked_connection.js';

/** How often requests and connections are checked during a shutdown, in milliseconds. */
const POLL_INTERVAL_MS = 10;
/** Time after the deadline of a request until its response is written, in milliseconds. */
const RESPONSE_MARGIN_MS = 100;
/** Time for the first request of a connection that was accepted before the port closed, in ms. */
const FIRST_REQUEST_TIMEOUT_MS = 500;

/** What is open at a server. */
export interface TrackerCounts {
  readonly inFlight: number;
  readonly connections: number;
  /** Connections that have brought no request yet. */
  readonly unused: number;
}

export class RequestTracker {
  #inFlight = 0;

  /** The open connections. */
  readonly #connections = new Map<Socket, TrackedConnection>();

  #isShuttingDown = false;

  /**
   * Until when connections without any request stay open, in milliseconds since the epoch; undefined
   * while the port is open.
   */
  #unusedUntil: number | undefined;

  /** When the process ends, in milliseconds since the epoch; unlimited before `limitTo`. */
  #endsAt = Infinity;

  constructor(
    private readonly server: Server,
    private readonly clock: Clock,
  ) {
    server.on('connection', (socket: Socket) => this.#open(socket));
  }

  /** Number of requests whose response is not completely written yet. */
  get inFlight(): number {
    return this.#inFlight;
  }

  get isShuttingDown(): boolean {
    return this.#isShuttingDown;
  }

  get counts(): TrackerCounts {
    const connections = [...this.#connections.values()];
    return {
      inFlight: this.#inFlight,
      connections: connections.length,
      unused: connections.filter(({ latest }) => latest === undefined).length,
    };
  }

  /**
   * Counts a request until its response is completely written or its connection has closed. Returns
   * false if the connection ends before its response: the request must not run.
   */
  track(response: ServerResponse): boolean {
    const { socket } = response.req;
    const connection = this.#connections.get(socket) ?? this.#open(socket);
    if (connection.isClosing) return false;
    const before = connection.latest;
    if (before?.headersSent && endsConnection(before)) return false;
    const isOpen = before !== undefined && !before.writableFinished && !before.destroyed;
    // Only the response to the latest request on a connection may end it.
    if (isOpen && !before.headersSent) before.removeHeader('connection');
    this.#inFlight += 1;
    connection.add(response);
    response.once('close', () => {
      this.#inFlight -= 1;
    });
    if (this.#isShuttingDown) connection.announceEnd();
    return true;
  }

  /** From now on, each response whose head is not sent yet announces the end of its connection. */
  beginShutdown(): void {
    this.#isShuttingDown = true;
    for (const [socket, connection] of this.#connections) {
      connection.announceEnd();
      this.#closeGracefully(socket, connection);
    }
  }

  /** From now on, requests are taken only if they end before the process does, at the earliest `endsAt`. */
  limitTo(endsAt: number): void {
    this.#endsAt = Math.min(this.#endsAt, endsAt);
  }

  /** Refuses all requests from now on. */
  refuseNew(): void {
    this.limitTo(0);
  }

  /**
   * Accepts no new connections. From now on, `waitUntilIdle` also closes the open ones: each as soon
   * as it has no request in flight, so that none can bring a request that nobody waits for.
   */
  stopAccepting(): void {
    this.#unusedUntil = this.clock.now() + FIRST_REQUEST_TIMEOUT_MS;
    // The method of HTTP servers would also destroy idle connections, on which a request may be arriving.
    NetServer.prototype.close.call(this.server);
  }

  /** Whether a request that arrives now and ends by `deadline` ends before the process does. */
  canFinish(deadline: number): boolean {
    return deadline + RESPONSE_MARGIN_MS <= this.#endsAt;
  }

  /**
   * Resolves when no request is in flight, or at the deadline; true if none was left. With the port
   * closed, all connections have ended by then as well, so that no further request can arrive.
   */
  async waitUntilIdle(deadline: number): Promise<boolean> {
    while (!this.#isIdle()) {
      const now = this.clock.now();
      if (now >= deadline) return false;
      await this.clock.sleepUntil(Math.min(deadline, now + POLL_INTERVAL_MS));
    }
    return true;
  }

  /** Stops at once and destroys all open connections. */
  destroyConnections(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  #open(socket: Socket): TrackedConnection {
    const connection = new TrackedConnection(socket);
    this.#connections.set(socket, connection);
    socket.once('close', () => this.#connections.delete(socket));
    if (this.#isShuttingDown) this.#closeGracefully(socket, connection);
    return connection;
  }

  /**
   * Replaces the method with which Node's server closes a connection after the response that announces
   * its end; see `TrackedConnection.close`.
   */
  #closeGracefully(socket: Socket, connection: TrackedConnection): void {
    socket.destroySoon = () => connection.close(this.clock.now());
  }

  #isIdle(): boolean {
    if (this.#unusedUntil === undefined) return this.#inFlight === 0;
    const now = this.clock.now();
    for (const connection of this.#connections.values())
      connection.closeIfIdle(now, this.#unusedUntil);
    return this.#connections.size === 0;
  }
}

/** Whether the connection ends after that response. */
function endsConnection(response: ServerResponse): boolean {
  return response.getHeader('connection') === 'close';
}

/** Counts the requests of a server that are in flight, and shuts it down without cutting them off. */
import { type Server, type ServerResponse } from 'node:http';
import { type Duplex } from 'node:stream';
import { type Clock } from '../runtime/clock.js';
import { GONE } from './disconnect_check.js';
import { TrackedConnection } from './tracked_connection.js';

/** What is open at a server. */
export interface TrackerCounts {
  readonly inFlight: number;
  readonly connections: number;
  /** Connections that have brought no request yet. */
  readonly unused: number;
}

/** How often the count is checked during a shutdown, in milliseconds. */
const POLL_INTERVAL_MS = 10;

export class RequestTracker {
  #inFlight = 0;

  /** The open connections. */
  readonly #connections = new Map<Duplex, TrackedConnection>();

  #isShuttingDown = false;

  constructor(
    private readonly server: Server,
    private readonly clock: Clock,
  ) {
    server.on('connection', (socket: Duplex) => this.#open(socket));
  }

  /** Number of requests whose response is not completely written yet. */
  get inFlight(): number {
    return this.#inFlight;
  }

  get isShuttingDown(): boolean {
    return this.#isShuttingDown;
  }

  /** Requests in flight, open connections, and how many of these have brought no request yet. */
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
   * false if an earlier response ends the connection: the request would never get a response, so it
   * must not run.
   */
  track(response: ServerResponse): boolean {
    this.#inFlight += 1;
    const { socket } = response.req;
    const connection = this.#connections.get(socket) ?? this.#open(socket);
    const before = connection.latest;
    const isOpen = before !== undefined && !before.writableFinished && !before.destroyed;
    if (isOpen && before.headersSent && endsConnection(before)) {
      this.#inFlight -= 1;
      return false;
    }
    // Only the response to the latest request on a connection may end it.
    if (isOpen && !before.headersSent) before.removeHeader('connection');
    if (!before) notifyUnfinished(connection);
    connection.latest = response;
    connection.unfinished.add(response);
    response.once('close', () => {
      this.#inFlight -= 1;
      connection.unfinished.delete(response);
    });
    if (this.#isShuttingDown) response.setHeader('connection', 'close');
    return true;
  }

  #open(socket: Duplex): TrackedConnection {
    const connection = new TrackedConnection(socket);
    this.#connections.set(socket, connection);
    socket.once('close', () => this.#connections.delete(socket));
    return connection;
  }

  /** From now on, each response asks the other end to close its connection. */
  beginShutdown(): void {
    this.#isShuttingDown = true;
  }

  /** Accepts no new connections and closes idle ones. */
  stopAccepting(): void {
    this.server.close();
  }

  /** Resolves when no request is in flight, or at the deadline; true if none was left. */
  async waitUntilIdle(deadline: number): Promise<boolean> {
    while (this.#inFlight > 0) {
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
}

/**
 * On the end of a connection, Node notifies only the response being written. Pipelined ones behind
 * it would count for ever: their requests would run on for nobody, and a shutdown would always last
 * until its deadline. Called at the first request, so that Node notifies its response first.
 */
function notifyUnfinished({ socket, unfinished }: TrackedConnection): void {
  // The server sends no further responses on a connection that its caller has ended.
  socket.once('end', () => {
    for (const response of [...unfinished]) if (!response.writableEnded) response.emit(GONE);
  });
  socket.once('close', () => {
    for (const response of [...unfinished]) if (response.socket === null) closeUnsent(response);
  });
}

/** Closes a response that was still queued; Node only marks it as destroyed and emits no `close`. */
function closeUnsent(response: ServerResponse): void {
  response.destroy();
  response.emit('close');
}

/** Whether the connection ends after that response. */
function endsConnection(response: ServerResponse): boolean {
  return response.getHeader('connection') === 'close';
}

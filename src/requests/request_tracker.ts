/** Counts the requests of a server that are in flight, and shuts it down without cutting them off. */
import { type Server, type ServerResponse } from 'node:http';
import { type Duplex } from 'node:stream';
import { type Clock } from '../runtime/clock.js';
import { GONE } from './disconnect_check.js';

/** How often the count is checked during a shutdown, in milliseconds. */
const POLL_INTERVAL_MS = 10;

export class RequestTracker {
  #inFlight = 0;

  /** The response to the latest request of each connection. */
  readonly #latestByConnection = new WeakMap<Duplex, ServerResponse>();

  /** The responses of each connection that are not completely written. */
  readonly #unfinishedByConnection = new WeakMap<Duplex, Set<ServerResponse>>();

  #isShuttingDown = false;

  constructor(
    private readonly server: Server,
    private readonly clock: Clock,
  ) {}

  /** Number of requests whose response is not completely written yet. */
  get inFlight(): number {
    return this.#inFlight;
  }

  get isShuttingDown(): boolean {
    return this.#isShuttingDown;
  }

  /**
   * Counts a request until its response is completely written or its connection has closed. Returns
   * false if an earlier response ends the connection: the request would never get a response, so it
   * must not run.
   */
  track(response: ServerResponse): boolean {
    this.#inFlight += 1;
    const { socket } = response.req;
    const before = this.#latestByConnection.get(socket);
    const isOpen = before !== undefined && !before.writableFinished && !before.destroyed;
    if (isOpen && before.headersSent && endsConnection(before)) {
      this.#inFlight -= 1;
      return false;
    }
    // Only the response to the latest request on a connection may end it.
    if (isOpen && !before.headersSent) before.removeHeader('connection');
    this.#latestByConnection.set(socket, response);
    const unfinished = this.#unfinishedOf(socket);
    unfinished.add(response);
    response.once('close', () => {
      this.#inFlight -= 1;
      unfinished.delete(response);
    });
    if (this.#isShuttingDown) response.setHeader('connection', 'close');
    return true;
  }

  /**
   * On the end of a connection, Node notifies only the response being written. Pipelined ones behind
   * it would count for ever: their requests would run on for nobody, and a shutdown would always last
   * until its deadline.
   */
  #unfinishedOf(socket: Duplex): Set<ServerResponse> {
    let unfinished = this.#unfinishedByConnection.get(socket);
    if (!unfinished) {
      unfinished = new Set();
      this.#unfinishedByConnection.set(socket, unfinished);
      const all = unfinished;
      // The server sends no further responses on a connection that its caller has ended.
      socket.once('end', () => {
        for (const response of [...all]) if (!response.writableEnded) response.emit(GONE);
      });
      socket.once('close', () => {
        for (const response of [...all]) if (response.socket === null) closeUnsent(response);
      });
    }
    return unfinished;
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

/** Closes a response that was still queued; Node only marks it as destroyed and emits no `close`. */
function closeUnsent(response: ServerResponse): void {
  response.destroy();
  response.emit('close');
}

/** Whether the connection ends after that response. */
function endsConnection(response: ServerResponse): boolean {
  return response.getHeader('connection') === 'close';
}

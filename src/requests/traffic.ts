/** What a server has in hand, and how it stops without cutting any of it. */
import { type Server, type ServerResponse } from 'node:http';
import { type Duplex } from 'node:stream';
import { type Clock } from '../runtime/clock.js';
import { GONE } from './presence.js';

/** How often is looked whether everything has been answered, in milliseconds. */
const LOOK_EVERY_MS = 10;

export class Traffic {
  #inFlight = 0;

  /** The answer to the latest request of each connection. */
  readonly #latest = new WeakMap<Duplex, ServerResponse>();

  /** Answers of each connection that are not wholly written. */
  readonly #unfinished = new WeakMap<Duplex, Set<ServerResponse>>();

  #isLeaving = false;

  constructor(
    private readonly server: Server,
    private readonly clock: Clock,
  ) {}

  /** Requests whose answer is not wholly written yet. */
  get inFlight(): number {
    return this.#inFlight;
  }

  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /**
   * Counts a request until its answer is wholly written or its connection is gone. False if an
   * answer before it on its connection ends that connection: it will never be answered, so it
   * must not run.
   */
  enter(response: ServerResponse): boolean {
    this.#inFlight += 1;
    const { socket } = response.req;
    const before = this.#latest.get(socket);
    const isOpen = before !== undefined && !before.writableFinished && !before.destroyed;
    if (isOpen && before.headersSent && isLast(before)) {
      this.#inFlight -= 1;
      return false;
    }
    // Only the latest of several requests on a connection may end it.
    if (isOpen && !before.headersSent) before.removeHeader('connection');
    this.#latest.set(socket, response);
    const unfinished = this.#unfinishedOf(socket);
    unfinished.add(response);
    response.once('close', () => {
      this.#inFlight -= 1;
      unfinished.delete(response);
    });
    if (this.#isLeaving) response.setHeader('connection', 'close');
    return true;
  }

  /**
   * Node tells only the answer whose turn it is that the connection has ended. Those behind it would
   * count for ever: their requests would run on for nobody, and a stop would take all the time it has.
   */
  #unfinishedOf(socket: Duplex): Set<ServerResponse> {
    let unfinished = this.#unfinished.get(socket);
    if (!unfinished) {
      unfinished = new Set();
      this.#unfinished.set(socket, unfinished);
      const all = unfinished;
      // The server answers nothing more on a connection that its caller has ended.
      socket.once('end', () => {
        for (const response of [...all]) if (!response.writableEnded) response.emit(GONE);
      });
      socket.once('close', () => {
        for (const response of [...all]) if (response.socket === null) abandon(response);
      });
    }
    return unfinished;
  }

  /** From now on each answer asks the other end to close its connection. */
  leave(): void {
    this.#isLeaving = true;
  }

  /** Takes no new connections and closes those that stand idle. */
  close(): void {
    this.server.close();
  }

  /** Resolves when nothing is in flight, or at the deadline; true if nothing was left. */
  async finish(deadline: number): Promise<boolean> {
    while (this.#inFlight > 0) {
      const now = this.clock.now();
      if (now >= deadline) return false;
      await this.clock.sleepUntil(Math.min(deadline, now + LOOK_EVERY_MS));
    }
    return true;
  }

  /** Stops at once: whatever is still open is cut. */
  cut(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Ends an answer that never had its turn; Node itself only marks it. */
function abandon(response: ServerResponse): void {
  response.destroy();
  response.emit('close');
}

/** Whether the connection ends with that answer. */
function isLast(response: ServerResponse): boolean {
  return response.getHeader('connection') === 'close';
}

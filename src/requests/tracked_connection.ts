/** A connection to a server of this process, with the requests on it, and how it ends at a shutdown. */
import { type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';
import { GONE } from './disconnect_check.js';

/** Time until the other end has read the last response and closes its side, in milliseconds. */
const LINGER_MS = 300;

export class TrackedConnection {
  /** The response to its latest request; undefined before the first one. */
  #latest: ServerResponse | undefined;

  /** Its responses that are not completely written. */
  readonly #unfinished = new Set<ServerResponse>();

  /**
   * Until when the other side may close, in milliseconds since the epoch; undefined while this side is
   * open.
   */
  #lingerUntil: number | undefined;

  constructor(private readonly socket: Socket) {}

  get latest(): ServerResponse | undefined {
    return this.#latest;
  }

  /** Whether this side is closed: a request that still arrives gets no response, so it must not run. */
  get isClosing(): boolean {
    return this.#lingerUntil !== undefined;
  }

  /** Adds a request, until its response is completely written or the connection has closed. */
  add(response: ServerResponse): void {
    if (!this.#latest) this.#notifyUnfinished();
    this.#latest = response;
    this.#unfinished.add(response);
    response.once('close', () => this.#unfinished.delete(response));
  }

  /** Announces the end of the connection in its latest response, if the head of that is not sent. */
  announceEnd(): void {
    const latest = this.#latest;
    if (latest && !latest.headersSent && !latest.destroyed) latest.setHeader('connection', 'close');
  }

  /**
   * Closes the connection if it has no request in flight. One without any request yet is given until
   * `unusedUntil`: its caller sends the first one a round trip after it was accepted.
   */
  closeIfIdle(now: number, unusedUntil: number): void {
    if (this.#lingerUntil !== undefined) {
      if (now >= this.#lingerUntil) this.socket.destroy();
    } else if (this.#unfinished.size === 0 && (this.#latest || now >= unusedUntil)) {
      this.close(now);
    }
  }

  /**
   * Closes this side only. A caller may be sending another request: with the whole connection closed,
   * the system would answer that with a reset, and the caller's system would discard what it has not
   * read of the response before.
   */
  close(now: number): void {
    this.#lingerUntil ??= now + LINGER_MS;
    this.socket.end();
  }

  /**
   * On the end of a connection, Node notifies only the response being written. Pipelined ones behind
   * it would count for ever: their requests would run on for nobody, and a shutdown would always last
   * until its deadline. Called at the first request, so that Node notifies its response first.
   */
  #notifyUnfinished(): void {
    // The server sends no further responses on a connection that its caller has ended.
    this.socket.once('end', () => {
      for (const response of [...this.#unfinished])
        if (!response.writableEnded) response.emit(GONE);
    });
    this.socket.once('close', () => {
      for (const response of [...this.#unfinished])
        if (response.socket === null) closeUnsent(response);
    });
  }
}

/** Closes a response that was still queued; Node only marks it as destroyed and emits no `close`. */
export function closeUnsent(response: ServerResponse): void {
  response.destroy();
  response.emit('close');
}

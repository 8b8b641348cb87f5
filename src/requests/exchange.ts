/** One request and its response over one connection, streamed in both directions. */
import {
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
  type ServerResponse,
} from 'node:http';
import { type Socket } from 'node:net';
import { type Writable } from 'node:stream';
import { type Reservation } from '../admission/uplink.js';
import { OutcomeError, type Verdict } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Body } from './body.js';
import { type ConnectionPool } from './connection_pool.js';
import { trailersOf } from './headers.js';
import {
  areValidTrailers,
  declaresFalseBody,
  endsWithHead,
  isValidResponse,
  MALFORMED_RESPONSE,
} from './http_syntax.js';
import { PacedResponse } from './paced_response.js';
import { isGone, whenGone } from './disconnect_check.js';

/**
 * A new connection takes about a millisecond, also to another data centre. A lost SYN is
 * retransmitted only after a second, so a longer timeout would only delay the caller.
 */
const CONNECT_TIMEOUT_MS = 200;
/** A response without progress for this long is cut, in milliseconds. */
export const PROGRESS_TIMEOUT_MS = 10_000;
/**
 * Time after its deadline by which a response has to be complete, in milliseconds. Progress alone does
 * not keep it: bytes may come without end.
 */
const COMPLETION_GRACE_MS = 150;
/** Most of a refused response that is read to keep its connection, in bytes, and for how long, in ms. */
const MAX_DISCARDED_BYTES = 64 * 1024;
const DISCARD_TIMEOUT_MS = 500;

/** Destination and content of a request, and its time limits. */
export interface ExchangeOptions {
  readonly connections: ConnectionPool;
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, without those that frame the body. */
  readonly headers: string[];
  readonly body: Body;
  /**
   * Time limit for the response head, in milliseconds since the epoch; the whole response has
   * `COMPLETION_GRACE_MS` more.
   */
  readonly deadline: number;
  /** Whether it may run twice; if not, idle connections without a recent response are not used. */
  readonly isRepeatable: boolean;
  /**
   * How long the far end may take to acknowledge the request, in milliseconds; unlimited when
   * absent.
   */
  readonly acknowledgementTimeoutMs?: number;
  /** Called when that time has passed; the exchange is aborted if it returns true. */
  readonly onUnacknowledged?: () => boolean;
  /** The response to the caller; the exchange is cancelled when the caller disconnects. */
  readonly caller: ServerResponse | undefined;
}

/**
 * Any end but a clean one destroys the connection: a response that arrived late on it would be taken
 * for the response to another request.
 */
export class Exchange {
  /** `not-run` until the connection is established; after that the request may have run. */
  #verdict: Verdict = 'not-run';

  #request: ClientRequest | undefined;

  #hasResponse = false;

  /** Set for a response without framing: settles once its end is known to be clean. */
  #endCheck: Promise<void> | undefined;

  /** The error of the request, which may occur after the response head. */
  #failure: OutcomeError | undefined;

  #deadlineTimer: NodeJS.Timeout | undefined;

  /** Rejects the promise for the response head. */
  #rejectResponse: (error: OutcomeError) => void = () => {};

  constructor(
    private readonly options: ExchangeOptions,
    private readonly clock: Clock,
  ) {}

  /** Sends the request; resolves to the response once its head has arrived. */
  send(): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const { options } = this;
      const { connections, host, port, method, path, body, deadline } = options;
      if (!options.isRepeatable) connections.closeStale(host, port);
      const headers = [...options.headers, ...body.framing];
      const request = httpRequest({ agent: connections, host, port, method, path, headers });
      this.#request = request;
      this.#rejectResponse = reject;
      const left = Math.max(0, deadline - this.clock.now());
      this.#deadlineTimer = setTimeout(
        () => this.#fail('deadline', 'no response before the deadline'),
        left,
      );
      if (options.caller) whenGone(options.caller, () => this.#cancel());
      request.once('socket', (socket) => this.#onSocket(socket));
      this.#awaitAcknowledgement(request);
      request.once('response', (answer) => {
        if (!isValidResponse(answer)) {
          this.#fail('connection', MALFORMED_RESPONSE);
          return;
        }
        clearTimeout(this.#deadlineTimer);
        this.#hasResponse = true;
        if (!isFramed(answer, method)) this.#endCheck = checkCleanEnd(answer.socket);
        resolve(answer);
      });
      request.on('error', (cause) => {
        this.#failure = this.#toOutcome(cause);
        reject(this.#failure);
      });
      request.once('close', () => {
        if (!this.#hasResponse)
          reject(this.#toOutcome(new Error('connection closed without a response')));
      });
      body.send(request);
    });
  }

  /**
   * Streams the response to the caller, with back-pressure. Resolves to the size of its body in bytes
   * once all of it has been read; with a `reservation` the rest is written after that, as the uplink
   * schedules it. Rejects when the response is cut off or makes no progress; the caller's connection
   * must then be destroyed, as a clean end would make a partial response look complete.
   */
  relay(
    answer: IncomingMessage,
    response: ServerResponse,
    reservation?: Reservation,
  ): Promise<number> {
    let bytes = 0;
    const { socket } = answer;
    const sink = reservation ? new PacedResponse(response, reservation) : response;
    if (declaresFalseBody(answer)) {
      sink.end();
      this.#request?.destroy();
      return Promise.resolve(bytes);
    }
    return new Promise((resolve, reject) => {
      const onTimeout = () =>
        this.#fail('silent', `no response progress for ${PROGRESS_TIMEOUT_MS} ms`);
      const timer = setTimeout(onTimeout, PROGRESS_TIMEOUT_MS);
      this.#limitCompletion(answer);
      answer.on('data', (chunk: Buffer) => {
        timer.refresh();
        bytes += chunk.length;
        if (!sink.write(chunk)) answer.pause();
      });
      // Without a listener, an error of one response would be an uncaught exception.
      sink.on('error', (cause) => {
        clearTimeout(timer);
        reject(this.#toOutcome(cause));
        this.#request?.destroy();
      });
      sink.on('drain', () => {
        timer.refresh();
        answer.resume();
      });
      answer.once('end', () => {
        clearTimeout(timer);
        this.#checkTrailers(answer, socket);
        const completed = this.#verifyComplete().then(() => {
          this.#finish(answer, response, sink);
          resolve(bytes);
        });
        completed.catch(reject);
      });
      answer.once('error', (cause) => {
        clearTimeout(timer);
        reject(this.#toOutcome(cause));
      });
      answer.once('close', () => {
        clearTimeout(timer);
        if (!answer.complete) reject(this.#toOutcome(new Error('response cut off before its end')));
      });
    });
  }

  /** Awaits `reading` of the response by other code, with the same progress timeout. */
  async withProgressTimeout<T>(answer: IncomingMessage, reading: Promise<T>): Promise<T> {
    // Node takes the socket from a response that has ended.
    const { socket } = answer;
    let read = socket.bytesRead;
    const timer = setInterval(() => {
      const before = read;
      read = socket.bytesRead;
      if (read === before)
        this.#fail('silent', `no response progress for ${PROGRESS_TIMEOUT_MS} ms`);
    }, PROGRESS_TIMEOUT_MS);
    this.#limitCompletion(answer);
    try {
      const result = await reading;
      await this.#verifyComplete();
      return result;
    } finally {
      clearInterval(timer);
      if (declaresFalseBody(answer)) this.#request?.destroy();
    }
  }

  /**
   * Reads and discards the rest of a response, so that its connection can be reused. If that is much,
   * or takes long, the connection is closed instead.
   */
  discard(answer: IncomingMessage): void {
    let bytes = 0;
    const timer = setTimeout(() => this.#request?.destroy(), DISCARD_TIMEOUT_MS);
    answer.on('error', () => {});
    answer.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > MAX_DISCARDED_BYTES) this.#request?.destroy();
    });
    // The far end refused before it had the whole body: the rest would be sent for nobody, and an error
    // of that would be uncaught once the connection waits for its next request.
    answer.once('end', () => {
      if (!this.#request?.writableFinished) this.#request?.destroy();
    });
    answer.once('close', () => clearTimeout(timer));
  }

  /** Aborts the exchange because the response belongs to another request; returns the error. */
  abortMismatched(): OutcomeError {
    this.#request?.destroy();
    const props = { verdict: 'may-have-run', reason: 'crossed' } as const;
    return new OutcomeError('response belongs to another request', props);
  }

  /**
   * Without acknowledgements, a request sent into a network partition or over a dead connection would
   * wait until its deadline. A live process acknowledges at once. The exchange is aborted only if the
   * request can be sent elsewhere: the process may also be busy, and respond in the end.
   */
  #awaitAcknowledgement(request: ClientRequest): void {
    const { acknowledgementTimeoutMs, onUnacknowledged } = this.options;
    if (acknowledgementTimeoutMs === undefined) return;
    const timer = setTimeout(() => {
      if (onUnacknowledged?.())
        this.#fail(
          'unacknowledged',
          `request not acknowledged within ${acknowledgementTimeoutMs} ms`,
        );
    }, acknowledgementTimeoutMs);
    const stop = () => clearTimeout(timer);
    request.once('information', stop).once('response', stop).once('close', stop);
  }

  /** Cuts a response that is not complete in time, however much of it arrives. */
  #limitCompletion(answer: IncomingMessage): void {
    const left = Math.max(0, this.options.deadline + COMPLETION_GRACE_MS - this.clock.now());
    const timer = setTimeout(
      () => this.#fail('deadline', 'response not complete before the deadline'),
      left,
    );
    answer.once('close', () => clearTimeout(timer));
  }

  /** Notes malformed trailers as a failure; by now the connection may wait for the next request. */
  #checkTrailers({ rawTrailers }: IncomingMessage, socket: Socket): void {
    if (areValidTrailers(rawTrailers)) return;
    this.#failure ??= this.#toOutcome(new Error(MALFORMED_RESPONSE));
    socket.destroy();
  }

  /** Rejects if the response ended before it was complete. */
  async #verifyComplete(): Promise<void> {
    try {
      await this.#endCheck;
    } catch (cause) {
      this.#failure ??= this.#toOutcome(cause as Error);
    }
    if (this.#failure) throw this.#failure;
  }

  #cancel(): void {
    this.#fail('cancelled', 'caller disconnected');
  }

  /**
   * The request may have waited for a free socket; it is written now, or once the socket is connected.
   * A caller who disconnected meanwhile is detected here, before the event on its response.
   */
  #onSocket(socket: Socket): void {
    const { caller } = this.options;
    if (caller && isGone(caller)) {
      this.#cancel();
      return;
    }
    if (!socket.connecting) {
      this.#verdict = 'may-have-run';
      return;
    }
    const timer = setTimeout(
      () => this.#fail('unreachable', `no connection within ${CONNECT_TIMEOUT_MS} ms`),
      CONNECT_TIMEOUT_MS,
    );
    socket.once('close', () => clearTimeout(timer));
    socket.once('connect', () => {
      clearTimeout(timer);
      if (caller && isGone(caller)) this.#cancel();
      else this.#verdict = 'may-have-run';
    });
  }

  #finish(answer: IncomingMessage, response: ServerResponse, sink: Writable): void {
    const trailers = trailersOf(answer.trailers);
    if (trailers && response.chunkedEncoding) response.addTrailers(trailers);
    sink.end();
    // The far end responded before it had the whole body: what it does with the rest is unknown.
    if (!this.#request?.writableFinished) this.#request?.destroy();
  }

  #fail(reason: string, message: string): void {
    clearTimeout(this.#deadlineTimer);
    if (!this.#request || this.#request.destroyed) return;
    const error = new OutcomeError(message, { verdict: this.#verdict, reason });
    this.#request.destroy(error);
    // A request that still waits for a socket emits no event when it is destroyed.
    this.#rejectResponse(error);
  }

  #toOutcome(cause: NodeJS.ErrnoException): OutcomeError {
    clearTimeout(this.#deadlineTimer);
    if (cause instanceof OutcomeError) return cause;
    const verdict = this.#verdict;
    const reason = verdict === 'not-run' ? 'unreachable' : 'connection';
    const message = cause.code?.startsWith('HPE_') ? MALFORMED_RESPONSE : cause.message;
    return new OutcomeError(message, { verdict, reason }, { cause });
  }
}

const EMPTY_BUFFER = Buffer.alloc(0);

function isFramed({ statusCode, headers }: IncomingMessage, method: string): boolean {
  if (endsWithHead(statusCode, method)) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/**
 * A response without framing ends with its connection. If that is reset right after the data, Node
 * reports a normal end instead of the error, and a partial response would look complete. The error is
 * still pending on the socket, and an empty write reveals it.
 */
function checkCleanEnd(socket: Socket): Promise<void> {
  const check = new Promise<void>((resolve, reject) => {
    socket.prependOnceListener('end', () => {
      socket.write(EMPTY_BUFFER, (error) => (error ? reject(error) : resolve()));
    });
    socket.once('close', () => resolve());
  });
  // Only a reader of the whole response awaits the check; otherwise a rejection is ignored.
  check.catch(() => {});
  return check;
}

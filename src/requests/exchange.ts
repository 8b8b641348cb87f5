/** One request and its answer over one connection, streamed both ways. */
import {
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
  type ServerResponse,
} from 'node:http';
import { type Socket } from 'node:net';
import { type Writable } from 'node:stream';
import { type Departure } from '../admission/uplink.js';
import { OutcomeError, type Verdict } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Body } from './body.js';
import { type Connections } from './connections.js';
import { trailersOf } from './headers.js';
import { PacedAnswer } from './paced_answer.js';
import { isGone, whenGone } from './presence.js';

/**
 * A new connection takes about a millisecond, also to another data centre. A lost packet is sent
 * again after a whole second, so waiting longer than this only holds the caller.
 */
const CONNECT_MS = 200;
/** An answer of which nothing has moved for this long is cut, in milliseconds. */
export const PROGRESS_MS = 10_000;

/** Where a request goes and what it carries. */
export interface Outgoing {
  readonly connections: Connections;
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn, without those that frame the body. */
  readonly headers: string[];
  readonly body: Body;
  /** No head of an answer by then ends the exchange, in milliseconds since the epoch. */
  readonly deadline: number;
  /** Whether it may run twice; if not it goes only over a proved connection or a new one. */
  readonly isRepeatable: boolean;
  /**
   * How long the far end may take to say that it has the request, in milliseconds; for ever when
   * absent.
   */
  readonly acknowledgeMs?: number;
  /** Called when it has not said so by then; the exchange is given up if it returns true. */
  readonly onUnacknowledged?: () => boolean;
  /** Whoever waits for the answer; when it goes away, so does the exchange. */
  readonly caller: ServerResponse | undefined;
}

/**
 * Any end but a clean one destroys the connection: a late answer that came over it afterwards
 * would be taken for the answer to another request.
 */
export class Exchange {
  /** `not-run` until a connection stands; after that the far end may have begun. */
  #verdict: Verdict = 'not-run';

  #request: ClientRequest | undefined;

  #hasAnswer = false;

  /** Set for an answer without a length: settles once its end is known to be one. */
  #proof: Promise<void> | undefined;

  /** Why the connection broke after the head of the answer had come. */
  #broken: OutcomeError | undefined;

  #timer: NodeJS.Timeout | undefined;

  /** Ends the wait for the answer. */
  #abandon: (error: OutcomeError) => void = () => {};

  constructor(
    private readonly outgoing: Outgoing,
    private readonly clock: Clock,
  ) {}

  /** Sends the request; resolves to the answer when its head is there. */
  answer(): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const { outgoing } = this;
      const { connections, host, port, method, path, body, deadline } = outgoing;
      if (!outgoing.isRepeatable) connections.retireUnproved(host, port);
      const headers = [...outgoing.headers, ...body.framing];
      const request = httpRequest({ agent: connections, host, port, method, path, headers });
      this.#request = request;
      this.#abandon = reject;
      const left = Math.max(0, deadline - this.clock.now());
      this.#timer = setTimeout(() => this.#fail('deadline', 'no answer in time'), left);
      if (outgoing.caller) whenGone(outgoing.caller, () => this.#cancel());
      request.once('socket', (socket) => this.#watch(socket));
      this.#awaitAcknowledgement(request);
      request.once('response', (answer) => {
        clearTimeout(this.#timer);
        this.#hasAnswer = true;
        if (!isFramed(answer)) this.#proof = proofOfEnd(answer.socket);
        resolve(answer);
      });
      request.on('error', (cause) => {
        this.#broken = this.#outcome(cause);
        reject(this.#broken);
      });
      request.once('close', () => {
        if (!this.#hasAnswer) reject(this.#outcome(new Error('closed without an answer')));
      });
      body.send(request);
    });
  }

  /**
   * Streams the answer to the caller, with back-pressure. Resolves to the bytes of its body once
   * all of it has been read; with a `departure` the rest leaves after that, as the uplink has turns
   * for it. Rejects when the answer breaks off or nothing moves any more; the caller's connection
   * is then to be cut, as a clean end would make a part look whole.
   */
  relay(answer: IncomingMessage, response: ServerResponse, departure?: Departure): Promise<number> {
    let bytes = 0;
    const way = departure ? new PacedAnswer(response, departure) : response;
    return new Promise((resolve, reject) => {
      const silent = () => this.#fail('silent', 'the answer came to a standstill');
      const timer = setTimeout(silent, PROGRESS_MS);
      answer.on('data', (chunk: Buffer) => {
        timer.refresh();
        bytes += chunk.length;
        if (!way.write(chunk)) answer.pause();
      });
      way.on('drain', () => {
        timer.refresh();
        answer.resume();
      });
      answer.once('end', () => {
        clearTimeout(timer);
        this.#whole().then(() => {
          this.#finish(answer, response, way);
          resolve(bytes);
        }, reject);
      });
      answer.once('error', (cause) => {
        clearTimeout(timer);
        reject(this.#outcome(cause));
      });
      answer.once('close', () => {
        clearTimeout(timer);
        if (!answer.complete) reject(this.#outcome(new Error('cut')));
      });
    });
  }

  /** Awaits `reading` of the answer by somebody else, with the same progress deadline. */
  async watch<T>(answer: IncomingMessage, reading: Promise<T>): Promise<T> {
    let read = answer.socket.bytesRead;
    const timer = setInterval(() => {
      const before = read;
      read = answer.socket.bytesRead;
      if (read === before) this.#fail('silent', 'the answer came to a standstill');
    }, PROGRESS_MS);
    try {
      const result = await reading;
      await this.#whole();
      return result;
    } finally {
      clearInterval(timer);
    }
  }

  /** Reads the rest of an answer that nobody wants, so that its connection can be used again. */
  drop(answer: IncomingMessage): void {
    answer.on('error', () => {});
    answer.resume();
  }

  /** Ends the exchange because the far end cannot be trusted. */
  distrust(): OutcomeError {
    this.#request?.destroy();
    const props = { verdict: 'may-have-run', reason: 'crossed' } as const;
    return new OutcomeError('the answer belongs to another request', props);
  }

  /**
   * What lies behind a cut, or at the end of a connection that has gone silent, would be waited for
   * until the deadline. A process that lives says at once that it has the request. Only what can
   * be sent elsewhere is given up: the process may also be busy, and answer in the end.
   */
  #awaitAcknowledgement(request: ClientRequest): void {
    const { acknowledgeMs, onUnacknowledged } = this.outgoing;
    if (acknowledgeMs === undefined) return;
    const timer = setTimeout(() => {
      if (onUnacknowledged?.()) this.#fail('unacknowledged', 'the far end does not react');
    }, acknowledgeMs);
    const stop = () => clearTimeout(timer);
    request.once('information', stop).once('response', stop).once('close', stop);
  }

  /** Rejects if the answer that has ended is but a part of one. */
  async #whole(): Promise<void> {
    try {
      await this.#proof;
    } catch (cause) {
      this.#broken ??= this.#outcome(cause as Error);
    }
    if (this.#broken) throw this.#broken;
  }

  #cancel(): void {
    this.#fail('cancelled', 'the caller has gone');
  }

  /**
   * The request may have waited for its connection, and is written in this turn or when that stands:
   * a caller who left meanwhile is known of sooner than the end of its answer is told.
   */
  #watch(socket: Socket): void {
    const { caller } = this.outgoing;
    if (caller && isGone(caller)) {
      this.#cancel();
      return;
    }
    if (!socket.connecting) {
      this.#verdict = 'may-have-run';
      return;
    }
    const timer = setTimeout(() => this.#fail('unreachable', 'no connection in time'), CONNECT_MS);
    socket.once('close', () => clearTimeout(timer));
    socket.once('connect', () => {
      clearTimeout(timer);
      if (caller && isGone(caller)) this.#cancel();
      else this.#verdict = 'may-have-run';
    });
  }

  #finish(answer: IncomingMessage, response: ServerResponse, way: Writable): void {
    const trailers = trailersOf(answer.trailers);
    if (trailers && response.chunkedEncoding) response.addTrailers(trailers);
    way.end();
    // The far end answered before it had the whole body: what it does with the rest is unknown.
    if (!this.#request?.writableFinished) this.#request?.destroy();
  }

  #fail(reason: string, message: string): void {
    clearTimeout(this.#timer);
    if (!this.#request || this.#request.destroyed) return;
    const error = new OutcomeError(message, { verdict: this.#verdict, reason });
    this.#request.destroy(error);
    // A request that still waits for a connection would not tell of its end.
    this.#abandon(error);
  }

  #outcome(cause: Error): OutcomeError {
    clearTimeout(this.#timer);
    if (cause instanceof OutcomeError) return cause;
    const verdict = this.#verdict;
    const reason = verdict === 'not-run' ? 'unreachable' : 'connection';
    return new OutcomeError(cause.message, { verdict, reason }, { cause });
  }
}

const NOTHING = Buffer.alloc(0);

function isFramed({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/**
 * An answer without a length ends with its connection. When that is reset right behind the data,
 * Node is told of an end and not of the error: the caller would take the part for all of it. The
 * error is still pending on the socket, and a write of nothing brings it out.
 */
function proofOfEnd(socket: Socket): Promise<void> {
  const proof = new Promise<void>((resolve, reject) => {
    socket.prependOnceListener('end', () => {
      socket.write(NOTHING, (error) => (error ? reject(error) : resolve()));
    });
    socket.once('close', () => resolve());
  });
  // Whoever reads the answer to its end asks for the proof; others need not hear of it.
  proof.catch(() => {});
  return proof;
}

/** Protects a server from input that is malformed, too large or too slow. */
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import { type Duplex } from 'node:stream';
import { notRun, OutcomeError } from '../contracts.js';
import {
  areValidTrailers,
  faultOfRequest,
  HEADERS_TOO_LARGE,
  MALFORMED_REQUEST,
} from './http_syntax.js';
import { rawRefusal, refuse } from './refusal.js';
import { closeUnsent } from './tracked_connection.js';

/** Time limit for receiving the head of a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Time limit for receiving a whole request, in milliseconds; the longest timeout of a note's route. */
const REQUEST_TIMEOUT_MS = 300_000;
/** How often both limits are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;
/** Time until the other end has read a refusal and closes its side, in milliseconds. */
const LINGER_MS = 1_000;

/** Server options that limit what a caller may send. */
export const SERVER_OPTIONS = {
  headersTimeout: HEADERS_TIMEOUT_MS,
  requestTimeout: REQUEST_TIMEOUT_MS,
  connectionsCheckingInterval: CHECK_INTERVAL_MS,
};

/** Why the rest of a connection is not read. */
interface InputFault {
  readonly reason: string;
  readonly message: string;
}

/** Reason and message for a parse or timeout error of the server. */
function faultOf(code: string | undefined): InputFault {
  if (code === 'HPE_HEADER_OVERFLOW') return HEADERS_TOO_LARGE;
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT')
    return { reason: 'slow-request', message: 'request not received in time' };
  return MALFORMED_REQUEST;
}

/**
 * A server that serves the requests with a valid head, whatever Node's parser lets through; others
 * are refused, and their connections closed.
 */
export function createCheckedServer(serve: RequestListener): Server {
  const { server } = ClientErrors.serverOf((request, response) => {
    if (request.headers.expect !== undefined) response.writeContinue();
    serve(request, response);
  }, {});
  return server;
}

/** The latest request of a connection. */
interface PendingRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Whether the next hop may have started to process it. */
  isHandedOver: boolean;
}

/** Responds to errors that the HTTP server, or the check of a head, detects in what a caller sends. */
export class ClientErrors {
  readonly #pending = new WeakMap<Duplex, PendingRequest>();

  /** Connections with malformed input: what follows it may be part of it, and is no request. */
  readonly #refused = new WeakSet<Duplex>();

  /** Responses to requests that were refused behind others, by connection. */
  readonly #dropped = new WeakMap<Duplex, ServerResponse[]>();

  private constructor(
    readonly server: Server,
    private readonly serve: RequestListener,
  ) {
    const receive: RequestListener = (request, response) => {
      if (!this.#accepts(request)) {
        this.#drop(response);
        return;
      }
      this.#pending.set(request.socket, { request, response, isHandedOver: false });
      this.serve(request, response);
    };
    server.on('request', receive);
    server.on('checkContinue', receive);
    server.on('clientError', (error, socket) => this.#handle(error, socket));
    server.on('connect', (_, socket) => {
      // The server has let go of the socket. Without a listener, a reset by the caller would be an
      // uncaught error and end the process.
      socket.on('error', () => socket.destroy());
      const refusal = notRun('bad-request', 'CONNECT tunnels are not supported');
      socket.end(rawRefusal(refusal), () => socket.destroy());
    });
    server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
      if (!this.#accepts(request)) return;
      const error = notRun('expectation-failed', 'unsupported Expect header');
      refuse(response, error, 0);
    });
  }

  /**
   * Creates a server whose requests are passed to `serve` once their heads have been checked. That
   * also tells callers who wait for it to send their bodies.
   */
  static serverOf(serve: RequestListener, options: ServerOptions): ClientErrors {
    // A missing Host header is refused with a verdict, by the check of the head.
    return new ClientErrors(createServer({ ...options, requireHostHeader: false }), serve);
  }

  /** Records that the next hop may start to process the request. */
  markHandedOver({ socket }: IncomingMessage): void {
    const pending = this.#pending.get(socket);
    if (pending) pending.isHandedOver = true;
  }

  /** Whether the head of a request is valid; if not, it is refused. */
  #accepts(request: IncomingMessage): boolean {
    const { socket } = request;
    if (this.#refused.has(socket)) return false;
    if (this.#hasMalformedEnd(socket)) return false;
    const fault = faultOfRequest(request);
    if (!fault) return true;
    request.on('error', () => {}).resume();
    this.#refuse(fault, socket);
    return false;
  }

  /**
   * Lets a response that is never written close with its connection. Node notifies only the response that
   * is being written, so whoever counts the requests in flight would count it for ever.
   */
  #drop(response: ServerResponse): void {
    const { socket } = response.req;
    const dropped = this.#dropped.get(socket);
    if (dropped) {
      dropped.push(response);
      return;
    }
    const responses = [response];
    this.#dropped.set(socket, responses);
    socket.once('close', () => responses.forEach((one) => one.socket ?? closeUnsent(one)));
  }

  /**
   * Whether the request before has malformed trailers. It is refused where its body is read, which is
   * after the next request has arrived if that is in the same packet.
   */
  #hasMalformedEnd(socket: Duplex): boolean {
    const before = this.#pending.get(socket);
    if (!before || areValidTrailers(before.request.rawTrailers)) return false;
    this.#refused.add(socket);
    if (before.response.writableFinished) socket.destroy();
    else before.response.once('close', () => socket.end());
    return true;
  }

  #handle(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (error.code === 'ECONNRESET') socket.destroy();
    else if (!this.#refused.has(socket)) this.#refuse(faultOf(error.code), socket);
  }

  /**
   * Malformed input may follow a request that is already running. A refusal written now would be
   * taken for the response to that request, and its `not-run` would be false, so the connection is
   * destroyed. If it is in the body of the latest request, the verdict depends on whether that request
   * was handed over.
   */
  #refuse({ reason, message }: InputFault, socket: Duplex): void {
    this.#refused.add(socket);
    const pending = this.#pending.get(socket);
    const isRunning = pending && !pending.response.writableFinished && !pending.response.destroyed;
    const followsRunningRequest =
      isRunning && (pending.request.complete || pending.response.headersSent);
    if (followsRunningRequest || !socket.writable) {
      socket.destroy();
      return;
    }
    const verdict = isRunning && pending.isHandedOver ? 'may-have-run' : 'not-run';
    const outcome = new OutcomeError(message, { verdict, reason });
    socket.end(rawRefusal(outcome));
    closeLater(socket);
  }
}

/**
 * If the connection were destroyed while the caller still sends, the caller's system would discard the
 * refusal before it is read. So what comes is read until the caller closes its side, up to `LINGER_MS`.
 */
function closeLater(socket: Duplex): void {
  const close = () => socket.destroy();
  const timer = setTimeout(close, LINGER_MS);
  socket.once('end', close).once('close', () => clearTimeout(timer));
}

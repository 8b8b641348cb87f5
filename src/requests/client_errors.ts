/** Protects a server for callers from input that is malformed, too large or too slow. */
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Duplex } from 'node:stream';
import { notRun, OutcomeError } from '../contracts.js';
import { rawRefusal, refuse } from './refusal.js';

/** Time limit for receiving the head of a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Time limit for receiving a whole request, in milliseconds; the longest timeout of a note's route. */
const REQUEST_TIMEOUT_MS = 300_000;
/** How often both limits are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** Server options that limit what a caller may send. */
export const SERVER_OPTIONS = {
  headersTimeout: HEADERS_TIMEOUT_MS,
  requestTimeout: REQUEST_TIMEOUT_MS,
  connectionsCheckingInterval: CHECK_INTERVAL_MS,
  // A missing Host header is refused with a verdict, in `target.ts`.
  requireHostHeader: false,
};

/** Reason and message for a parse or timeout error of the server. */
function reasonOf(code: string | undefined): [reason: string, message: string] {
  if (code === 'HPE_HEADER_OVERFLOW') return ['headers-too-large', 'request headers too large'];
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return ['slow-request', 'request not received in time'];
  return ['bad-request', 'malformed HTTP request'];
}

/** The latest request of a connection. */
interface PendingRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Whether the next hop may have started to process it. */
  isHandedOver: boolean;
}

/** Responds to errors that the HTTP server itself detects in what a caller sends. */
export class ClientErrors {
  readonly #pending = new WeakMap<Duplex, PendingRequest>();

  constructor(server: Server) {
    server.on('clientError', (error, socket) => this.#refuse(error, socket));
    server.on('connect', (_, socket) => {
      // The server has let go of the socket. Without a listener, a reset by the caller would be an
      // uncaught error and end the process.
      socket.on('error', () => socket.destroy());
      const refusal = notRun('bad-request', 'CONNECT tunnels are not supported');
      socket.end(rawRefusal(refusal), () => socket.destroy());
    });
    server.on('checkExpectation', (_: IncomingMessage, response: ServerResponse) => {
      const error = notRun('expectation-failed', 'unsupported Expect header');
      refuse(response, error, 0);
    });
  }

  /** Records `request` as the latest one of its connection. */
  track(request: IncomingMessage, response: ServerResponse): void {
    this.#pending.set(request.socket, { request, response, isHandedOver: false });
  }

  /** Records that the next hop may start to process the request. */
  markHandedOver({ socket }: IncomingMessage): void {
    const pending = this.#pending.get(socket);
    if (pending) pending.isHandedOver = true;
  }

  /**
   * Malformed input may follow a request that is already running. A refusal written now would be
   * taken for the response to that request, and its `not-run` would be false, so the connection is
   * destroyed. If it is in the body of the latest request, the verdict depends on whether that request
   * was handed over.
   */
  #refuse(error: NodeJS.ErrnoException, socket: Duplex): void {
    const pending = this.#pending.get(socket);
    const isRunning = pending && !pending.response.writableFinished && !pending.response.destroyed;
    const followsRunningRequest =
      isRunning && (pending.request.complete || pending.response.headersSent);
    if (followsRunningRequest || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const [reason, message] = reasonOf(error.code);
    const verdict = isRunning && pending.isHandedOver ? 'may-have-run' : 'not-run';
    const outcome = new OutcomeError(message, { verdict, reason });
    socket.end(rawRefusal(outcome), () => socket.destroy());
  }
}

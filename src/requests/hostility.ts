/** Keeps a server for callers safe from input that is malformed, too large or too slow. */
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Duplex } from 'node:stream';
import { notRun, OutcomeError } from '../contracts.js';
import { rawRefusal, refuse } from './refusal.js';

/** Time for the head of a request to arrive, in milliseconds. */
const HEADERS_MS = 10_000;
/** Time for a whole request to arrive, in milliseconds; the longest that a route may grant. */
const REQUEST_MS = 300_000;
/** How often both are checked, in milliseconds. */
const CHECK_MS = 1_000;

/** Server options that bound what a caller may send. */
export const BOUNDS = {
  headersTimeout: HEADERS_MS,
  requestTimeout: REQUEST_MS,
  connectionsCheckingInterval: CHECK_MS,
  // A missing Host header is refused with a verdict, in `target.ts`.
  requireHostHeader: false,
};

/** What a parse or timeout error of the server means to the caller. */
function reasonOf(code: string | undefined): [reason: string, message: string] {
  if (code === 'HPE_HEADER_OVERFLOW') return ['headers-too-large', 'the headers are too large'];
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return ['slow-request', 'the request came too slowly'];
  return ['bad-request', 'the request is malformed'];
}

/** A request that has not been answered yet. */
interface InHand {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Whether the next hop may have begun with it. */
  isHandedOver: boolean;
}

/** Answers to everything that the server itself finds wrong. */
export class Hostility {
  readonly #inHand = new WeakMap<Duplex, InHand>();

  constructor(server: Server) {
    server.on('clientError', (error, socket) => this.#refuse(error, socket));
    server.on('connect', (_, socket) => {
      socket.end(rawRefusal(notRun('bad-request', 'tunnels are not offered')));
    });
    server.on('checkExpectation', (_: IncomingMessage, response: ServerResponse) => {
      const error = notRun('expectation-failed', 'this expectation cannot be met');
      refuse(response, error, 0);
    });
  }

  /** Notes that the connection of `request` has one in hand. */
  enter(request: IncomingMessage, response: ServerResponse): void {
    this.#inHand.set(request.socket, { request, response, isHandedOver: false });
  }

  /** Notes that the next hop may begin with it. */
  handOver({ socket }: IncomingMessage): void {
    const inHand = this.#inHand.get(socket);
    if (inHand) inHand.isHandedOver = true;
  }

  /**
   * What is malformed may follow a request that is already running. A refusal written now would be
   * taken for the answer to that one, and its "not run" would be false: the connection is cut. If
   * it is the body of the request itself, the verdict depends on whether that was handed over.
   */
  #refuse(error: NodeJS.ErrnoException, socket: Duplex): void {
    const inHand = this.#inHand.get(socket);
    const isRunning = inHand && !inHand.response.writableFinished && !inHand.response.destroyed;
    const isAnotherOne = isRunning && (inHand.request.complete || inHand.response.headersSent);
    if (isAnotherOne || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const [reason, message] = reasonOf(error.code);
    const verdict = isRunning && inHand.isHandedOver ? 'may-have-run' : 'not-run';
    const outcome = new OutcomeError(message, { verdict, reason });
    socket.end(rawRefusal(outcome), () => socket.destroy());
  }
}

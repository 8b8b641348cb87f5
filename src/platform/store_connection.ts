/** Calls to the store over persistent connections, each with its own deadline. */
import { request } from 'node:http';
import { OutcomeError, type Verdict } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { KeepAliveAgent } from '../runtime/keep_alive_agent.js';
import { declaresFalseBody, isValidResponse, MALFORMED_RESPONSE } from '../requests/http_syntax.js';
import { type CallMeter } from './call_meter.js';

export interface StoreResponse {
  readonly status: number;
  readonly body: string;
}

export interface Call {
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  /** Time by which the call fails without an answer, in milliseconds since the epoch. */
  readonly deadline: number;
  readonly signal?: AbortSignal;
}

const MAX_SOCKETS = 16;
/**
 * Idle connections are closed after this time, in milliseconds. One that was lost without a close would
 * cost the next call its whole timeout, and a process that takes over reading has no time for that.
 * Readers use theirs without a pause.
 */
export const IDLE_CONNECTION_MS = 1_000;

export class StoreConnection implements AsyncDisposable {
  readonly #agent = new KeepAliveAgent({
    maxSockets: MAX_SOCKETS,
    timeout: IDLE_CONNECTION_MS,
  });

  constructor(
    private readonly base: URL,
    private readonly clock: Clock,
    private readonly meter: CallMeter,
  ) {}

  /** Rejects with an `OutcomeError` if there is no complete answer by the deadline. */
  call(call: Call): Promise<StoreResponse> {
    const timeout = Math.max(1, call.deadline - this.clock.now());
    return new Promise<StoreResponse>((resolve, reject) => {
      // Before the socket is connected nothing can have been sent, so a failure is `not-run`.
      let verdict: Verdict = 'not-run';
      const fail = (cause: Error) => {
        clearTimeout(timer);
        if (!call.signal?.aborted) this.meter.failed(call.method, cause);
        reject(unavailableError(call, verdict, cause));
      };
      const outgoing = request(new URL(call.path, this.base), {
        agent: this.#agent,
        method: call.method,
        headers: call.body === undefined ? {} : bodyHeaders(call.body),
        ...(call.signal && { signal: call.signal }),
      });
      // Destroys the connection too: a late answer on it would be taken for that of the next call.
      const timer = setTimeout(
        () => outgoing.destroy(new Error('no answer by the deadline')),
        timeout,
      );
      outgoing.on('socket', (socket) => {
        const markSent = () => {
          verdict = 'may-have-run';
        };
        if (socket.connecting) socket.once('connect', markSent);
        else markSent();
      });
      outgoing.on('error', fail);
      outgoing.on('response', (incoming) => {
        if (!isValidResponse(incoming) || declaresFalseBody(incoming)) {
          outgoing.destroy(new Error(MALFORMED_RESPONSE));
          return;
        }
        const chunks: Buffer[] = [];
        incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
        incoming.on('error', fail);
        incoming.on('end', () => {
          clearTimeout(timer);
          const status = incoming.statusCode ?? 0;
          this.meter.answered(call.method, status);
          resolve({ status, body: Buffer.concat(chunks).toString() });
        });
      });
      outgoing.end(call.body);
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#agent.destroy();
  }
}

function bodyHeaders(body: string): Record<string, string> {
  return {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
  };
}

function unavailableError(call: Call, verdict: Verdict, cause: Error): OutcomeError {
  return new OutcomeError(
    `platform ${call.method} failed: ${cause.message}`,
    { verdict, reason: 'unavailable' },
    { cause },
  );
}

/** One request and its answer over HTTP, streamed both ways. */
import {
  type Agent,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  request as httpRequest,
} from 'node:http';
import { type Readable } from 'node:stream';
import { OutcomeError, type Verdict } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';

/** Where a request goes and what it carries. */
export interface Outgoing {
  readonly agent: Agent;
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Readable | undefined;
  /** No answer by then ends the exchange, in milliseconds since the epoch. */
  readonly deadline: number;
  /** Aborts when the caller has gone. */
  readonly cancelled: AbortSignal;
}

/**
 * Sends the request and resolves to the answer as soon as its head is there. A failure before a
 * connection stood is `not-run`; after that the far end may have begun.
 */
export function exchange(outgoing: Outgoing, clock: Clock): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    let verdict: Verdict = 'not-run';
    const { agent, host, port, method, path, headers, body, deadline, cancelled } = outgoing;
    const request = httpRequest({ agent, host, port, method, path, headers });
    const timer = setTimeout(
      () => request.destroy(new OutcomeError('no answer in time', { verdict, reason: 'deadline' })),
      Math.max(0, deadline - clock.now()),
    );
    const cancel = () => request.destroy(new Error('cancelled by the caller'));
    cancelled.addEventListener('abort', cancel, { once: true });
    const settle = () => {
      clearTimeout(timer);
      cancelled.removeEventListener('abort', cancel);
    };
    request.once('socket', (socket) => {
      const connected = () => {
        verdict = 'may-have-run';
      };
      if (socket.connecting) socket.once('connect', connected);
      else connected();
    });
    request.on('error', (cause) => {
      settle();
      const reason = cause instanceof OutcomeError ? cause.reason : 'connection';
      reject(new OutcomeError(cause.message, { verdict, reason }, { cause }));
    });
    request.once('response', (answer) => {
      answer.once('close', settle);
      resolve(answer);
    });
    if (body) body.pipe(request);
    else request.end();
  });
}

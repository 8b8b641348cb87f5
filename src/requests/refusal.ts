/** Answers to requests that barleyhaven itself has to end. */
import { type ServerResponse } from 'node:http';
import { OutcomeError, type Verdict } from '../contracts.js';
import { REASON, VERDICT } from './headers.js';

/** Status by reason; anything else is a 502. */
const STATUS: Readonly<Record<string, number>> = {
  'no-route': 404,
  'bad-request': 400,
  'key-required': 428,
  'key-reused': 422,
  'in-progress': 409,
  'outcome-unknown': 409,
  'answer-not-kept': 409,
  'body-too-large': 413,
  'headers-too-large': 431,
  'not-ready': 503,
  'no-endpoint': 503,
  overloaded: 503,
  draining: 503,
  quarantined: 503,
  'store-unavailable': 503,
  deadline: 504,
};
const BAD_GATEWAY = 502;
const MS_PER_SECOND = 1000;

/** What callers get as JSON with every refusal. */
export interface RefusalBody {
  readonly verdict: Verdict;
  readonly reason: string;
  readonly message: string;
}

export function asOutcome(error: unknown): OutcomeError {
  if (error instanceof OutcomeError) return error;
  return new OutcomeError(
    'the request failed on its way',
    { verdict: 'may-have-run', reason: 'failed' },
    { cause: error },
  );
}

/**
 * Ends a request with a refusal. Once the answer has begun it can only be cut: the connection is
 * destroyed, because a clean end would make a part look whole.
 */
export function refuse(response: ServerResponse, error: OutcomeError, now: number): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const { verdict, reason, message, retryAt } = error;
  const body = JSON.stringify({ verdict, reason, message } satisfies RefusalBody);
  const retryAfter = retryAt && Math.max(1, Math.ceil((retryAt - now) / MS_PER_SECOND));
  // Set one by one, because the meter reads them back and `writeHead` alone would not keep them.
  response.setHeader(VERDICT, verdict);
  response.setHeader(REASON, reason);
  response.writeHead(STATUS[reason] ?? BAD_GATEWAY, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...(retryAfter && { 'retry-after': String(retryAfter) }),
  });
  response.end(body);
}

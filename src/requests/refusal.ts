/** Answers to requests that barleyhaven itself has to end. */
import { type IncomingMessage, type ServerResponse, STATUS_CODES } from 'node:http';
import { OutcomeError, type Verdict } from '../contracts.js';
import { type Dialect } from './dialect.js';
import { REASON, RETRY_AFTER, VERDICT } from './headers.js';
import { OWN_DIALECT } from './own_dialect.js';

/** Status by reason; anything else is a 502, or a 503 if it is sure not to have run. */
const STATUS: Readonly<Record<string, number>> = {
  'no-route': 404,
  'bad-request': 400,
  'expectation-failed': 417,
  'key-required': 428,
  'key-reused': 422,
  'in-progress': 409,
  'outcome-unknown': 409,
  'answer-not-kept': 409,
  'slow-request': 408,
  'body-too-large': 413,
  'headers-too-large': 431,
  'not-ready': 503,
  'no-endpoint': 503,
  overloaded: 503,
  shed: 503,
  draining: 503,
  quarantined: 503,
  'store-unavailable': 503,
  deadline: 504,
};
const BAD_GATEWAY = 502;
const SERVICE_UNAVAILABLE = 503;
/** Statuses by which callers may take a request for not run. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** How long the rest of a refused body is read and dropped, in milliseconds. */
const LINGER_MS = 1_000;

/** What callers get as JSON with every refusal. */
export interface RefusalBody {
  readonly verdict: Verdict;
  readonly reason: string;
  readonly message: string;
}

/**
 * Ends a request with a refusal. Once the answer has begun it can only be cut: the connection is
 * destroyed, because a clean end would make a part look whole.
 */
export function refuse(
  response: ServerResponse,
  error: OutcomeError,
  now: number,
  dialect: Dialect = OWN_DIALECT,
): void {
  const request = response.req;
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const body = bodyOf(error);
  // Set one by one, because the meter reads them back and `writeHead` alone would not keep them.
  for (const [name, value] of Object.entries(headersOf(error, body, now, dialect))) {
    response.setHeader(name, value);
  }
  response.writeHead(statusOf(error));
  if (request.complete || request.destroyed) {
    response.end(body);
    return;
  }
  linger(request, response, body);
}

/** A refusal as bytes for a connection on which there is no response object. */
export function rawRefusal(error: OutcomeError): string {
  const body = bodyOf(error);
  const status = statusOf(error);
  const headers = { ...headersOf(error, body, 0, OWN_DIALECT), connection: 'close' };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${lines.join('')}\r\n${body}`;
}

/**
 * Were the connection closed while the caller still sends its body, the caller's system would
 * throw away the refusal that it has not read yet. So the rest is read and dropped, for a while.
 */
function linger(request: IncomingMessage, response: ServerResponse, body: string): void {
  response.write(body);
  request.on('error', () => {});
  request.resume();
  const timer = setTimeout(() => response.destroy(), LINGER_MS);
  request.once('end', () => response.end());
  response.once('close', () => clearTimeout(timer));
}

/**
 * The reason tells of the last attempt, the verdict of all of them. A request that may have run at
 * an earlier one must not get a status that callers take for leave to send it again.
 */
function statusOf({ reason, verdict }: OutcomeError): number {
  const status = STATUS[reason] ?? (verdict === 'not-run' ? SERVICE_UNAVAILABLE : BAD_GATEWAY);
  return PROMISES.has(status) && verdict !== 'not-run' ? BAD_GATEWAY : status;
}

function bodyOf({ verdict, reason, message }: OutcomeError): string {
  return JSON.stringify({ verdict, reason, message } satisfies RefusalBody);
}

function headersOf(
  error: OutcomeError,
  body: string,
  now: number,
  dialect: Dialect,
): Record<string, string> {
  const { verdict, reason, retryAt } = error;
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
    [VERDICT]: verdict,
    [REASON]: reason,
  };
  if (retryAt !== undefined) {
    headers[RETRY_AFTER] = dialect.retryAfter(retryAt - now);
  }
  return headers;
}

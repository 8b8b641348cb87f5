/** Responses to requests that barleyhaven refuses itself. */
import { type IncomingMessage, type ServerResponse, STATUS_CODES } from 'node:http';
import { OutcomeError, type Verdict } from '../contracts.js';
import { type Dialect } from './dialect.js';
import { REASON, RETRY_AFTER, VERDICT, WWW_AUTHENTICATE } from './headers.js';
import { DEFAULT_DIALECT } from './default_dialect.js';

/** Status by reason; for other reasons 503 if the request has certainly not run, otherwise 502. */
const STATUS: Readonly<Record<string, number>> = {
  'no-route': 404,
  unauthorized: 401,
  quota: 429,
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
  stopping: 503,
  quarantined: 503,
  'store-unavailable': 503,
  deadline: 504,
};
const BAD_GATEWAY = 502;
/** The scheme under which callers send keys, see `tokenOf`. */
const CREDENTIALS_SCHEME = 'Token';
const SERVICE_UNAVAILABLE = 503;
/** Statuses from which callers may conclude that the request was not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** How long the rest of a refused body is read and discarded, in milliseconds. */
const LINGER_MS = 1_000;

/** JSON body of every refusal to a caller. */
export interface RefusalBody {
  readonly verdict: Verdict;
  readonly reason: string;
  readonly message: string;
}

/**
 * Ends a request with a refusal. If the response has already begun, the connection is destroyed
 * instead, because a clean end would make a partial response look complete.
 */
export function refuse(
  response: ServerResponse,
  error: OutcomeError,
  now: number,
  dialect: Dialect = DEFAULT_DIALECT,
): void {
  const request = response.req;
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const body = bodyOf(error);
  // Set one by one: the request meter reads them back, and `writeHead` would not keep them.
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

/** A refusal as raw HTTP, for a connection without a response object. */
export function rawRefusal(error: OutcomeError): string {
  const body = bodyOf(error);
  const status = statusOf(error);
  const headers = { ...headersOf(error, body, 0, DEFAULT_DIALECT), connection: 'close' };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${lines.join('')}\r\n${body}`;
}

/**
 * If the connection were closed while the caller still sends its body, the caller's system would
 * discard the refusal before it is read. So the rest is read and discarded, for up to `LINGER_MS`.
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
 * The reason is that of the last attempt, the verdict covers all of them. A request that may have run
 * in an earlier one must not get a status from which callers conclude that it is safe to resend.
 */
function statusOf({ reason, verdict }: OutcomeError): number {
  const status = STATUS[reason] ?? (verdict === 'not-run' ? SERVICE_UNAVAILABLE : BAD_GATEWAY);
  return NOT_RUN_STATUSES.has(status) && verdict !== 'not-run' ? BAD_GATEWAY : status;
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
  // What follows malformed input on its connection may be part of it.
  if (reason === 'bad-request') headers.connection = 'close';
  if (retryAt !== undefined) {
    headers[RETRY_AFTER] = dialect.retryAfter(retryAt - now);
  }
  if (reason === 'unauthorized') headers[WWW_AUTHENTICATE] = CREDENTIALS_SCHEME;
  return headers;
}

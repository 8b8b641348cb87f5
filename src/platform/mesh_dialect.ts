/** Headers and status codes that callers and upstream instances use on the operators' platform. */
import { type IncomingHttpHeaders, type IncomingMessage } from 'node:http';
import { Dialect, type Identity, type ResponseKind } from '../requests/dialect.js';
import { headerOf, nameHeader, nameOf } from '../requests/headers.js';
import { parseRate } from '../admission/rate_limit.js';
import {
  CALLER_HEADER,
  INSTANCE_HEADER,
  LEAVING_HEADER,
  LOAD_HEADER,
  NOT_EXECUTED_HEADER,
  RATE_LIMIT_HEADER,
  REQUEST_ID_HEADER,
  SIGNATURE_HEADER,
  TARGET_HEADER,
  TEAM_HEADER,
  TIMEOUT_HEADER,
  parseSlowness,
} from './wire.js';

const OK = 200;
const MISDIRECTED = 421;
const SERVICE_UNAVAILABLE = 503;
const TOO_MANY_REQUESTS = 429;
const MS_PER_SECOND = 1_000;
const LEAVING_VALUE = '1';

export class MeshDialect extends Dialect {
  readonly allowedFromCallers: ReadonlySet<string> = new Set([REQUEST_ID_HEADER]);

  readonly allowedFromEntries: ReadonlySet<string> = new Set([
    REQUEST_ID_HEADER,
    CALLER_HEADER,
    TEAM_HEADER,
  ]);

  readonly allowedFromUpstreams: ReadonlySet<string> = new Set([
    REQUEST_ID_HEADER,
    SIGNATURE_HEADER,
    INSTANCE_HEADER,
    NOT_EXECUTED_HEADER,
  ]);

  /** Only the route determines which requests may run twice. */
  readonly takesKeys = false;

  constructor(
    /** The service of the upstream instance beside this process. */
    private readonly service: () => string,
  ) {
    super();
  }

  requestIdOf(headers: IncomingHttpHeaders): string | undefined {
    return headerOf({ headers }, REQUEST_ID_HEADER);
  }

  callerTimeoutMs(headers: IncomingHttpHeaders): number | undefined {
    const timeoutMs = Number(headers[TIMEOUT_HEADER]);
    return timeoutMs > 0 ? timeoutMs : undefined;
  }

  get ownCaller(): string {
    return this.service();
  }

  callerOf(request: Pick<IncomingMessage, 'headers'>): string {
    return nameOf(request, CALLER_HEADER) ?? '';
  }

  entryHeaders(team: string | undefined): readonly string[] {
    const headers = [CALLER_HEADER, nameHeader(this.ownCaller)];
    if (team !== undefined) headers.push(TEAM_HEADER, nameHeader(team));
    return headers;
  }

  guardHeaders(remainingMs: number, endpoint: string | undefined): readonly string[] {
    const headers = [TIMEOUT_HEADER, String(remainingMs)];
    if (endpoint !== undefined) headers.push(TARGET_HEADER, endpoint);
    return headers;
  }

  classifyResponse(request: IncomingMessage, answer: IncomingMessage): ResponseKind {
    const id = headerOf(answer, REQUEST_ID_HEADER);
    if (id !== undefined && id !== headerOf(request, REQUEST_ID_HEADER)) return 'crossed';
    const { statusCode } = answer;
    if (statusCode === MISDIRECTED) return 'elsewhere';
    if (headerOf(answer, NOT_EXECUTED_HEADER) === undefined) return 'answer';
    const isShed = statusCode === SERVICE_UNAVAILABLE || statusCode === TOO_MANY_REQUESTS;
    return isShed ? 'shed' : 'answer';
  }

  identityOf(answer: IncomingMessage): Identity | undefined {
    const id = headerOf(answer, INSTANCE_HEADER);
    const [, , slots] = (headerOf(answer, LOAD_HEADER) ?? '').split(',').map(Number);
    if (answer.statusCode !== OK || id === undefined || !slots) return undefined;
    return { id, slots };
  }

  refusesWork(answer: IncomingMessage): boolean {
    const hasNoRoom = headerOf(answer, NOT_EXECUTED_HEADER) !== undefined;
    return answer.statusCode === SERVICE_UNAVAILABLE && !hasNoRoom;
  }

  /** An answer that the instance has not signed may come from something before it. */
  rateLimitOf(answer: IncomingMessage): number | undefined {
    const text = headerOf(answer, RATE_LIMIT_HEADER);
    if (text !== undefined) return parseRate(text);
    return headerOf(answer, SIGNATURE_HEADER) === undefined ? undefined : Infinity;
  }

  slownessOf(answer: IncomingMessage): number | undefined {
    return parseSlowness(headerOf(answer, LOAD_HEADER));
  }

  isLeaving(answer: IncomingMessage): boolean {
    return headerOf(answer, LEAVING_HEADER) === LEAVING_VALUE;
  }

  /** In fractions of a second, which callers accept, so that they need not wait for a whole one. */
  retryAfter(waitMs: number): string {
    return (Math.max(1, waitMs) / MS_PER_SECOND).toFixed(3);
  }
}

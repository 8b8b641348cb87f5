/** The default header conventions, documented in `docs/OPERATORS.md`. */
import { type IncomingHttpHeaders, type IncomingMessage } from 'node:http';
import { Dialect, type ResponseKind } from './dialect.js';
import {
  CALLER_REQUEST_ID,
  CALLER_TIMEOUT,
  headerOf,
  INSTANCE_LEAVING,
  INSTANCE_RATE_LIMIT,
  NO_HEADERS,
  RETRIED,
  TEAM,
} from './headers.js';
import { parseRate } from '../admission/rate_limit.js';

const MS_PER_SECOND = 1000;
const LEAVING_VALUE = '1';

export class DefaultDialect extends Dialect {
  readonly allowedFromCallers = NO_HEADERS;

  readonly allowedFromEntries: ReadonlySet<string> = new Set([TEAM]);

  readonly allowedFromUpstreams: ReadonlySet<string> = new Set([RETRIED]);

  readonly takesKeys = true;

  requestIdOf(headers: IncomingHttpHeaders): string | undefined {
    return headerOf({ headers }, CALLER_REQUEST_ID);
  }

  callerTimeoutMs(headers: IncomingHttpHeaders): number | undefined {
    const asked = Number(headers[CALLER_TIMEOUT]);
    return asked > 0 ? asked : undefined;
  }

  readonly ownCaller = '';

  callerOf(): string {
    return '';
  }

  /** The name of the team is sent to the guard in any case, which forwards it. */
  entryHeaders(): readonly string[] {
    return [];
  }

  guardHeaders(remainingMs: number): readonly string[] {
    return [CALLER_TIMEOUT, String(remainingMs)];
  }

  /** A refusal for lack of capacity proves nothing here: part of the work may have run. */
  classifyResponse(): ResponseKind {
    return 'answer';
  }

  identityOf(): undefined {
    return undefined;
  }

  refusesWork(): boolean {
    return false;
  }

  rateLimitOf(answer: IncomingMessage): number | undefined {
    const text = headerOf(answer, INSTANCE_RATE_LIMIT);
    return text === undefined ? Infinity : parseRate(text);
  }

  slownessOf(): undefined {
    return undefined;
  }

  isLeaving(answer: IncomingMessage): boolean {
    return headerOf(answer, INSTANCE_LEAVING) === LEAVING_VALUE;
  }

  /** Whole seconds, as HTTP requires, and at least one. */
  retryAfter(waitMs: number): string {
    return String(Math.max(1, Math.ceil(waitMs / MS_PER_SECOND)));
  }
}

export const DEFAULT_DIALECT = new DefaultDialect();

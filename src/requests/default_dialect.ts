/** The default header conventions, documented in `docs/OPERATORS.md`. */
import { type IncomingHttpHeaders } from 'node:http';
import { Dialect, type ResponseKind } from './dialect.js';
import { CALLER_REQUEST_ID, CALLER_TIMEOUT, headerOf, NO_HEADERS, RETRIED } from './headers.js';

const MS_PER_SECOND = 1000;

export class DefaultDialect extends Dialect {
  readonly allowedFromCallers = NO_HEADERS;

  readonly allowedFromEntries = NO_HEADERS;

  readonly allowedFromUpstreams: ReadonlySet<string> = new Set([RETRIED]);

  readonly takesKeys = true;

  requestIdOf(headers: IncomingHttpHeaders): string | undefined {
    return headerOf({ headers }, CALLER_REQUEST_ID);
  }

  callerTimeoutMs(headers: IncomingHttpHeaders): number | undefined {
    const asked = Number(headers[CALLER_TIMEOUT]);
    return asked > 0 ? asked : undefined;
  }

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

  /** Whole seconds, as HTTP requires, and at least one. */
  retryAfter(waitMs: number): string {
    return String(Math.max(1, Math.ceil(waitMs / MS_PER_SECOND)));
  }
}

export const DEFAULT_DIALECT = new DefaultDialect();

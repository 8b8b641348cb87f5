/** What the product speaks by itself, as `docs/OPERATORS.md` tells it. */
import { type IncomingHttpHeaders } from 'node:http';
import { Dialect, type Meaning } from './dialect.js';
import { CALLER_REQUEST_ID, CALLER_TIMEOUT, headerOf, NONE, RETRIED } from './headers.js';

const MS_PER_SECOND = 1000;

export class OwnDialect extends Dialect {
  readonly fromCallers = NONE;

  readonly fromEntries = NONE;

  readonly fromUpstreams: ReadonlySet<string> = new Set([RETRIED]);

  readonly takesKeys = true;

  requestIdOf(headers: IncomingHttpHeaders): string | undefined {
    return headerOf({ headers }, CALLER_REQUEST_ID);
  }

  callerTimeoutMs(headers: IncomingHttpHeaders): number | undefined {
    const asked = Number(headers[CALLER_TIMEOUT]);
    return asked > 0 ? asked : undefined;
  }

  originHeaders(): readonly string[] {
    return [];
  }

  upstreamHeaders(remainingMs: number): readonly string[] {
    return [CALLER_TIMEOUT, String(remainingMs)];
  }

  /** An upstream that refuses for lack of room may still have run part of the work. */
  meaningOf(): Meaning {
    return 'answer';
  }

  identityOf(): undefined {
    return undefined;
  }

  declines(): boolean {
    return false;
  }

  /** Whole seconds, as HTTP has it. */
  retryAfter(waitMs: number): string {
    return String(Math.max(1, Math.ceil(waitMs / MS_PER_SECOND)));
  }
}

export const OWN_DIALECT = new OwnDialect();

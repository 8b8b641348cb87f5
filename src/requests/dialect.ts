/** Header conventions of callers and upstream instances, where they differ between deployments. */
import { type IncomingHttpHeaders, type IncomingMessage } from 'node:http';

/**
 * Kind of a response from an upstream instance, by its head:
 *
 * - `answer`: the response to the request.
 * - `shed`: proof that the request was not run, for lack of capacity.
 * - `elsewhere`: proof that it was not run, because another instance has that address now.
 * - `crossed`: the response to another request.
 */
export type ResponseKind = 'answer' | 'shed' | 'elsewhere' | 'crossed';

/** What an upstream instance reports about itself. */
export interface Identity {
  readonly id: string;
  readonly slots: number;
}

export abstract class Dialect {
  /** Headers with the internal prefix that callers may set; they are forwarded to upstream instances. */
  abstract readonly allowedFromCallers: ReadonlySet<string>;

  /** The same headers and those that the entry adds. */
  abstract readonly allowedFromEntries: ReadonlySet<string>;

  /** Headers with the internal prefix that upstream instances may set; they are forwarded to callers. */
  abstract readonly allowedFromUpstreams: ReadonlySet<string>;

  /** Whether callers may send an `Idempotency-Key` to have a request run at most once. */
  abstract readonly takesKeys: boolean;

  /** The caller's id for the request, used in logs. */
  abstract requestIdOf(headers: IncomingHttpHeaders): string | undefined;

  /** The caller's timeout in milliseconds; undefined if it sends none. */
  abstract callerTimeoutMs(headers: IncomingHttpHeaders): number | undefined;

  /** The name under which requests that enter here are sent on; empty if callers have no names. */
  abstract readonly ownCaller: string;

  /** That name on a request from an entry. */
  abstract callerOf(request: Pick<IncomingMessage, 'headers'>): string;

  /** Headers that an entry adds for the upstream instance, as alternating names and values. */
  abstract entryHeaders(team: string | undefined): readonly string[];

  /** Headers that a guard adds, in the same form; `endpoint` is the id that the instance announced. */
  abstract guardHeaders(remainingMs: number, endpoint: string | undefined): readonly string[];

  abstract classifyResponse(request: IncomingMessage, answer: IncomingMessage): ResponseKind;

  /** The instance that answered a health check, if it accepts work. */
  abstract identityOf(answer: IncomingMessage): Identity | undefined;

  /** Whether a health check shows that the instance accepts no work, for a reason other than lack of capacity. */
  abstract refusesWork(answer: IncomingMessage): boolean;

  /**
   * The requests per second that the instance takes from all processes together, as the answer
   * states: `Infinity` if it has no such limit, undefined if the answer does not tell.
   */
  abstract rateLimitOf(answer: IncomingMessage): number | undefined;

  /**
   * How long work takes on the machine of the instance at this moment, as a factor: 1 as usual, 2.5
   * if it takes 2.5 times as long. Undefined if the answer does not tell.
   */
  abstract slownessOf(answer: IncomingMessage): number | undefined;

  /** Whether the instance states in the answer that it is leaving; that holds for its whole run. */
  abstract isLeaving(answer: IncomingMessage): boolean;

  /** The value of `Retry-After` for a delay in milliseconds. */
  abstract retryAfter(waitMs: number): string;
}

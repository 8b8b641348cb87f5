/** What callers and upstream instances speak, where it differs from deployment to deployment. */
import { type IncomingHttpHeaders, type IncomingMessage } from 'node:http';

/**
 * What the head of an upstream instance's answer says:
 *
 * - `answer`: it is the answer to the request.
 * - `shed`: proof that the request was not run, for lack of room.
 * - `elsewhere`: proof that it was not run, because another instance has that address now.
 * - `crossed`: it belongs to another request.
 */
export type Meaning = 'answer' | 'shed' | 'elsewhere' | 'crossed';

/** Who an upstream instance says it is. */
export interface Identity {
  readonly id: string;
  readonly slots: number;
}

export abstract class Dialect {
  /** Headers with the internal prefix that callers may set and upstream instances get. */
  abstract readonly fromCallers: ReadonlySet<string>;

  /** The same, with those that the entry adds. */
  abstract readonly fromEntries: ReadonlySet<string>;

  /** Headers with the internal prefix that upstream instances may set and callers get. */
  abstract readonly fromUpstreams: ReadonlySet<string>;

  /** Whether callers may ask for a single run by an `Idempotency-Key`. */
  abstract readonly takesKeys: boolean;

  /** The caller's name for the request, by which it is found in logs. */
  abstract requestIdOf(headers: IncomingHttpHeaders): string | undefined;

  /** How long the caller waits, in milliseconds; undefined if it does not say. */
  abstract callerTimeoutMs(headers: IncomingHttpHeaders): number | undefined;

  /** Headers that an entry adds for the upstream instance, as names and values in turn. */
  abstract originHeaders(): readonly string[];

  /** Headers that a guard adds; `endpoint` is the id under which the instance announced itself. */
  abstract upstreamHeaders(remainingMs: number, endpoint: string | undefined): readonly string[];

  abstract meaningOf(request: IncomingMessage, answer: IncomingMessage): Meaning;

  /** Who answers a health check, if it takes work. */
  abstract identityOf(answer: IncomingMessage): Identity | undefined;

  /** Whether a health check was answered by an instance that takes no work, not for lack of room. */
  abstract declines(answer: IncomingMessage): boolean;

  /** The value of `Retry-After` for a wait in milliseconds. */
  abstract retryAfter(waitMs: number): string;
}

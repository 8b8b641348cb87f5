/** Names of the headers that barleyhaven reads and sets, and which of a message go further. */

/** Headers between processes; taken from a caller they would be forged, so entry strips them. */
export const INTERNAL_PREFIX = 'barleyhaven-';
export const UPSTREAM = 'barleyhaven-upstream';
/** Echoed on the answer; one that differs belongs to another exchange. */
export const EXCHANGE_ID = 'barleyhaven-exchange-id';
/** Time left, in milliseconds: an instant would be misread where clocks differ. */
export const REMAINING = 'barleyhaven-remaining-ms';
/** Time left until an answer is of less use, in milliseconds; may be negative. */
export const TARGET = 'barleyhaven-target-ms';
/** Name of the route: requests under one take about the same time. */
export const ROUTE = 'barleyhaven-route';
/** Name of the limit that the route sets. */
export const LIMIT = 'barleyhaven-limit';
export const PRIORITY = 'barleyhaven-priority';
/** `0` on a request that must not run twice. */
export const REPEATABLE = 'barleyhaven-repeatable';
/** On answers between processes: the upstream instance refused the work for lack of room. */
export const SHED = 'barleyhaven-shed';
/** On answers between processes: what the guard has in hand, see `Load`. */
export const LOAD = 'barleyhaven-load';

/** Name of the route, on a request that must run under a claim. */
export const CLAIM = 'barleyhaven-claim';

/** On answers to callers: whether the request may have run. */
export const VERDICT = 'barleyhaven-verdict';
/** On answers to callers: the stable name of the cause. */
export const REASON = 'barleyhaven-reason';

/** On answers to callers: this is the recorded outcome of an earlier request with the same key. */
export const REPLAYED = 'barleyhaven-replayed';

/**
 * On answers and requests: one hop has retried this request, so no other one does. Applications
 * that make calls of their own for a request pass it on.
 */
export const RETRIED = 'barleyhaven-retried';

/** From callers, and towards upstreams: time left for the request, in milliseconds. */
export const CALLER_TIMEOUT = 'request-timeout-ms';
/** From callers, and passed on: their name for the request, by which it is found in logs. */
export const CALLER_REQUEST_ID = 'x-request-id';
/** From callers: the same key means the same request. */
export const IDEMPOTENCY_KEY = 'idempotency-key';
export const RETRY_AFTER = 'retry-after';

/** Internal headers that callers get to see on answers. */
export const TOLD_TO_CALLERS: ReadonlySet<string> = new Set([VERDICT, REASON, REPLAYED, RETRIED]);
export const NONE: ReadonlySet<string> = new Set();

/** Headers that belong to one connection and are never passed on. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** What a request's body and deadline say anew at each hop. */
const SAID_ANEW: ReadonlySet<string> = new Set(['content-length', 'expect', CALLER_TIMEOUT]);

/** The parts of a message's head that are looked at here. */
export interface Head {
  /** Names and values in turn, as they came. */
  readonly rawHeaders: readonly string[];
  readonly headers: { readonly connection?: string | undefined };
}

/** Headers of a request that go to the next hop; of the internal ones only those in `internal`. */
export function requestHeaders(head: Head, internal: ReadonlySet<string> = NONE): string[] {
  return endToEnd(head, internal, SAID_ANEW);
}

/** Headers of an answer that go to the next hop; of the internal ones only those in `internal`. */
export function answerHeaders(head: Head, internal: ReadonlySet<string>): string[] {
  return endToEnd(head, internal, NONE);
}

/** The value of a header that is expected once. */
export function headerOf(
  { headers }: { headers: NodeJS.Dict<string | string[]> },
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : value?.[0];
}

/** Trailers without those that an outsider may not set. */
export function trailersOf(trailers: NodeJS.Dict<string>): NodeJS.Dict<string> | undefined {
  const kept = Object.entries(trailers).filter(([name]) => !name.startsWith(INTERNAL_PREFIX));
  return kept.length > 0 ? Object.fromEntries(kept) : undefined;
}

function endToEnd(
  { rawHeaders, headers: { connection } }: Head,
  internal: ReadonlySet<string>,
  dropped: ReadonlySet<string>,
): string[] {
  const named = connection === undefined ? NONE : namesIn(connection);
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || dropped.has(lower) || named.has(lower)) continue;
    if (lower.startsWith(INTERNAL_PREFIX) && !internal.has(lower)) continue;
    kept.push(name, rawHeaders[index + 1]!);
  }
  return kept;
}

/** Headers that `Connection` names belong to the connection too. */
function namesIn(connection: string): ReadonlySet<string> {
  const lower = connection.toLowerCase();
  if (lower === 'keep-alive' || lower === 'close') return NONE;
  return new Set(lower.split(/\s*,\s*/));
}

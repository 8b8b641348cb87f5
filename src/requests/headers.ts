/** Names of the headers that barleyhaven reads and sets. */

/** Headers between processes; taken from a caller they would be forged, so entry strips them. */
export const INTERNAL_PREFIX = 'barleyhaven-';
export const UPSTREAM = 'barleyhaven-upstream';
export const REQUEST_ID = 'barleyhaven-request-id';
/** Time left, in milliseconds: an instant would be misread where clocks differ. */
export const REMAINING = 'barleyhaven-remaining-ms';
export const LIMIT = 'barleyhaven-limit';
export const PRIORITY = 'barleyhaven-priority';
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

/** From callers: time left for the request, in milliseconds. */
export const CALLER_TIMEOUT = 'request-timeout-ms';
/** From callers: the same key means the same request. */
export const IDEMPOTENCY_KEY = 'idempotency-key';

/** Headers that belong to one connection and are never passed on. */
export const HOP_BY_HOP: ReadonlySet<string> = new Set([
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

/**
 * End-to-end headers of a message. Those that `Connection` names belong to the connection too,
 * and internal ones are dropped where `trusted` is false.
 */
export function endToEnd(
  headers: NodeJS.Dict<string | string[]>,
  trusted: boolean,
): Record<string, string | string[]> {
  const named = String(headers.connection ?? '')
    .toLowerCase()
    .split(/\s*,\s*/);
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name) || named.includes(name)) continue;
    if (!trusted && name.startsWith(INTERNAL_PREFIX)) continue;
    kept[name] = value;
  }
  return kept;
}

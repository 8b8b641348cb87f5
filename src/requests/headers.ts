/** Names of the headers that barleyhaven reads and sets, and the filters for forwarded headers. */
import { isAllowedInTrailers } from './http_syntax.js';

/** Prefix of the headers between processes; the entry strips them from callers, who could forge them. */
export const INTERNAL_PREFIX = 'barleyhaven-';
const INTERNAL_WORD = INTERNAL_PREFIX.slice(0, -1);
const LETTER_OR_DIGIT = /[a-z\d]/;
export const UPSTREAM = 'barleyhaven-upstream';
/** Echoed on the response; a response with another id belongs to another exchange. */
export const EXCHANGE_ID = 'barleyhaven-exchange-id';
/** Remaining time in milliseconds: an instant would be misread where clocks differ. */
export const REMAINING = 'barleyhaven-remaining-ms';
/** Remaining time until a response is of less use, in milliseconds; may be negative. */
export const TARGET = 'barleyhaven-target-ms';
/** Name of the route; requests of one route take about the same time. */
export const ROUTE = 'barleyhaven-route';
/** Name of the limit that the route sets. */
export const LIMIT = 'barleyhaven-limit';
export const PRIORITY = 'barleyhaven-priority';
/** Name of the caller's team; absent on requests without one. */
export const TEAM = 'barleyhaven-team';
/** `0` on a request that must not run twice. */
export const REPEATABLE = 'barleyhaven-repeatable';
/** On responses between processes: the upstream instance refused the request for lack of capacity. */
export const SHED = 'barleyhaven-shed';
/** On responses between processes: the load of the guard, see `Load`. */
export const LOAD = 'barleyhaven-load';
/** On responses between processes: how slow the machine of the upstream instance is, see `Slowness`. */
export const SLOWNESS = 'barleyhaven-slowness';
/** On responses between processes: the rate limit of the upstream instance, see `Rate`. */
export const RATE = 'barleyhaven-rate';
/** On requests between processes: the rate limit of the endpoint as the entry knows it. */
export const KNOWN_RATE = 'barleyhaven-known-rate';
/** On responses between processes: the upstream instance has stated that it is leaving. */
export const LEAVING = 'barleyhaven-leaving';
/** On requests between processes: the entry knows that the endpoint is leaving. */
export const KNOWN_LEAVING = 'barleyhaven-known-leaving';
/** Between processes: the run of the upstream instance that has stated this, see `formatRun`. */
export const RUN = 'barleyhaven-run';

/** Name of the route, on a request that must run under a claim. */
export const CLAIM = 'barleyhaven-claim';

/** On responses to callers: whether the request may have run. */
export const VERDICT = 'barleyhaven-verdict';
/** On responses to callers: stable identifier of the cause. */
export const REASON = 'barleyhaven-reason';

/** On responses to callers: the recorded outcome of an earlier request with the same key. */
export const REPLAYED = 'barleyhaven-replayed';

/**
 * On responses and requests: one hop has retried this request, so other hops must not. Applications
 * that make further calls for a request forward it.
 */
export const RETRIED = 'barleyhaven-retried';

/** From callers, and to upstreams: remaining time for the request, in milliseconds. */
export const CALLER_TIMEOUT = 'request-timeout-ms';
/** From callers, and forwarded: their id for the request, used in logs. */
export const CALLER_REQUEST_ID = 'x-request-id';
/** From callers: the same key means the same request. */
export const IDEMPOTENCY_KEY = 'idempotency-key';
/** From upstream instances: the requests per second that one takes from all processes together. */
export const INSTANCE_RATE_LIMIT = 'instance-rate-limit';
/** From upstream instances: `1` from one that is leaving. */
export const INSTANCE_LEAVING = 'instance-leaving';
export const RETRY_AFTER = 'retry-after';
export const WWW_AUTHENTICATE = 'www-authenticate';
const AUTHORIZATION = 'authorization';

/** Internal headers forwarded to callers on responses. */
export const CALLER_VISIBLE_HEADERS: ReadonlySet<string> = new Set([
  VERDICT,
  REASON,
  REPLAYED,
  RETRIED,
]);
export const NO_HEADERS: ReadonlySet<string> = new Set();

/** Headers that belong to one connection and are never forwarded. */
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

/** Request headers that each hop sets itself, from the body and the deadline. */
const SET_PER_HOP: ReadonlySet<string> = new Set(['content-length', 'expect', CALLER_TIMEOUT]);

/** Headers that a response without content must not have, as some recipients wait for a body. */
const FRAMING: ReadonlySet<string> = new Set(['content-length']);
const NO_CONTENT = 204;

/** As `SET_PER_HOP`, and the credentials, which only the entry may see. */
const SET_PER_HOP_OR_SECRET: ReadonlySet<string> = new Set([...SET_PER_HOP, AUTHORIZATION]);

/** The parts of a message head that the filters read. */
export interface MessageHead {
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
  readonly headers: { readonly connection?: string | undefined };
}

/**
 * Request headers for the next hop; of the internal ones only those in `internal`. Credentials are
 * dropped with `dropsCredentials`: while the configuration has teams they are keys of teams, which no
 * other process may see.
 */
export function requestHeaders(
  head: MessageHead,
  internal: ReadonlySet<string> = NO_HEADERS,
  dropsCredentials = false,
): string[] {
  return endToEndHeaders(head, internal, dropsCredentials ? SET_PER_HOP_OR_SECRET : SET_PER_HOP);
}

/** Response headers for the next hop; of the internal ones only those in `internal`. */
export function responseHeaders(
  head: MessageHead & { readonly statusCode?: number | undefined },
  internal: ReadonlySet<string>,
): string[] {
  return endToEndHeaders(head, internal, head.statusCode === NO_CONTENT ? FRAMING : NO_HEADERS);
}

/** The value of a header that is expected once; the first one of an array. */
export function headerOf(
  { headers }: { headers: NodeJS.Dict<string | string[]> },
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : value?.[0];
}

const NOT_ASCII = /[^\0-\x7f]/;

/** A name as a header value: in UTF-8, byte by byte, as header values may hold no other characters. */
export function nameHeader(name: string): string {
  return NOT_ASCII.test(name) ? Buffer.from(name).toString('latin1') : name;
}

/** The text of a header value in UTF-8, which Node reads byte by byte. */
export function utf8Of(value: string): string {
  return NOT_ASCII.test(value) ? Buffer.from(value, 'latin1').toString() : value;
}

/** The name in a header that `nameHeader` has formatted. */
export function nameOf(
  head: { headers: NodeJS.Dict<string | string[]> },
  header: string,
): string | undefined {
  const value = headerOf(head, header);
  return value === undefined ? undefined : utf8Of(value);
}

/**
 * Trailers without the internal ones, which only barleyhaven may set, and with `dropsCredentials` without
 * credentials, as for headers.
 */
export function trailersOf(
  trailers: NodeJS.Dict<string>,
  dropsCredentials = false,
): NodeJS.Dict<string> | undefined {
  const kept = Object.entries(trailers).filter(
    ([name]) =>
      isAllowedInTrailers(name) &&
      !isInternal(name) &&
      !(dropsCredentials && name === AUTHORIZATION),
  );
  return kept.length > 0 ? Object.fromEntries(kept) : undefined;
}

function endToEndHeaders(
  { rawHeaders, headers: { connection } }: MessageHead,
  internal: ReadonlySet<string>,
  dropped: ReadonlySet<string>,
): string[] {
  const connectionHeaders = connection === undefined ? NO_HEADERS : connectionTokens(connection);
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || dropped.has(lower) || connectionHeaders.has(lower)) continue;
    if (lower.startsWith(INTERNAL_WORD) && isInternal(lower) && !internal.has(lower)) continue;
    kept.push(name, rawHeaders[index + 1]!);
  }
  return kept;
}

/**
 * Whether the name is one of ours, or may be taken for one: servers that pass headers on in variables
 * write `_` for `-`, and some for other characters, too.
 */
function isInternal(lower: string): boolean {
  return (
    lower.startsWith(INTERNAL_WORD) && !LETTER_OR_DIGIT.test(lower.charAt(INTERNAL_WORD.length))
  );
}

/** Headers named in `Connection`, which also belong to the connection only; every request needs its `Host`. */
function connectionTokens(connection: string): ReadonlySet<string> {
  const lower = connection.toLowerCase();
  if (lower === 'keep-alive' || lower === 'close') return NO_HEADERS;
  const tokens = new Set(lower.split(/\s*,\s*/));
  tokens.delete('host');
  return tokens;
}

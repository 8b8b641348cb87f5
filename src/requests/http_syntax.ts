/**
 * Judges heads of HTTP messages as Node's parser delivers them. Versions of the parser differ in what
 * they let through, and a head that the next hop may read differently must not be forwarded.
 */
import { type IncomingMessage } from 'node:http';

/** A token of RFC 9110, section 5.6.2. */
const TOKEN = /^[\w!#$%&'*+\-.^`|~]+$/;
/** Spaces, tabs, visible characters and bytes above ASCII. */
const TEXT = /^[\t\x20-\x7e\x80-\xff]*$/;
/** A request target without white space and control characters. */
const TARGET = /^[\x21-\x7e\x80-\xff]+$/;
/** Host and port of RFC 3986, with zones of addresses; empty for a target without authority. */
const HOST = /^(?:\[[\w:.%~-]+\]|[\w\-.~%!$&'()*+,;=]*)(?::\d*)?$/;
/** A length that a number represents exactly. */
const LENGTH = /^\d{1,15}$/;
const VERSIONS: ReadonlySet<string> = new Set(['1.0', '1.1']);
/** Node keeps this many names and values of a head, and drops the others without an error. */
const MAX_RAW_HEADERS = 2_000;
const MIN_FINAL_STATUS = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Names that may not be in trailers: those that frame or route a message (RFC 9110, 6.5.1). */
const NOT_IN_TRAILERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'host',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Why a head is refused. */
export interface HeadFault {
  readonly reason: 'bad-request' | 'headers-too-large';
  readonly message: string;
}

export const MALFORMED_REQUEST: HeadFault = {
  reason: 'bad-request',
  message: 'malformed HTTP request',
};
export const HEADERS_TOO_LARGE: HeadFault = {
  reason: 'headers-too-large',
  message: 'request headers too large',
};
export const MALFORMED_RESPONSE = 'malformed HTTP response';

/** The parts of a message that the checks read. */
type Message = Pick<IncomingMessage, 'httpVersion' | 'rawHeaders'>;
type Request = Message & Pick<IncomingMessage, 'method' | 'url'>;
type Response = Message & Pick<IncomingMessage, 'statusCode' | 'statusMessage'>;

/** Number of the headers of a message that frame or route it. */
interface Counts {
  hosts: number;
  lengths: number;
  codings: number;
}

/** The fault of a request's head; undefined for a valid one. */
export function faultOfRequest({
  method,
  url = '',
  httpVersion,
  rawHeaders,
}: Request): HeadFault | undefined {
  if (rawHeaders.length >= MAX_RAW_HEADERS) return HEADERS_TOO_LARGE;
  // A request of another protocol, such as RTSP, has no method.
  if (method === undefined || !TARGET.test(url)) return MALFORMED_REQUEST;
  const counts = countHeaders(rawHeaders);
  if (!counts || !isFramedOnce(counts, httpVersion)) return MALFORMED_REQUEST;
  const isHostMissing = counts.hosts === 0 && httpVersion !== '1.0';
  if (counts.hosts < 2 && !isHostMissing) return undefined;
  const message = `exactly one Host header is required, got ${counts.hosts}`;
  return { reason: 'bad-request', message };
}

/** Whether a response is well-formed, as far as its head tells. */
export function isValidResponse(response: Response): boolean {
  const { statusCode = 0, statusMessage = '', httpVersion, rawHeaders } = response;
  if (statusCode < MIN_FINAL_STATUS || !TEXT.test(statusMessage)) return false;
  const counts = rawHeaders.length < MAX_RAW_HEADERS ? countHeaders(rawHeaders) : undefined;
  if (!counts) return false;
  if (endsWithHead(statusCode)) return VERSIONS.has(httpVersion);
  return isFramedOnce(counts, httpVersion);
}

/** Whether a response ends with its head, whatever that says (RFC 9112, section 6.3). */
export function endsWithHead(status: number | undefined, method?: string): boolean {
  return status === NO_CONTENT || status === NOT_MODIFIED || method === 'HEAD';
}

/**
 * Whether a response ends with its head although that declares a body, for which some versions of
 * Node wait. For the other responses that end with their head, Node skips the body itself.
 */
export function declaresFalseBody({ statusCode, headers }: IncomingMessage): boolean {
  if (statusCode !== NO_CONTENT) return false;
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** Whether all trailers are well-formed. */
export function areValidTrailers(rawTrailers: readonly string[]): boolean {
  return rawTrailers.length < MAX_RAW_HEADERS && countHeaders(rawTrailers) !== undefined;
}

/** Whether a header may be sent as a trailer; `lower` is its name in lower case. */
export function isAllowedInTrailers(lower: string): boolean {
  return !NOT_IN_TRAILERS.has(lower);
}

/** Counts the headers that frame or route a message; undefined if a name or value is invalid. */
function countHeaders(raw: readonly string[]): Counts | undefined {
  const counts: Counts = { hosts: 0, lengths: 0, codings: 0 };
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index]!;
    const value = raw[index + 1]!;
    if (!TOKEN.test(name) || !TEXT.test(value)) return undefined;
    // The lengths of the three names decide first, as that costs least.
    const { length } = name;
    if (length !== 4 && length !== 14 && length !== 17) continue;
    if (!isCounted(name.toLowerCase(), value, counts)) return undefined;
  }
  return counts;
}

/** Counts one header, with its name in lower case; false if its value is invalid. */
function isCounted(lower: string, value: string, counts: Counts): boolean {
  switch (lower) {
    case 'host':
      counts.hosts += 1;
      return HOST.test(value);
    case 'content-length':
      counts.lengths += 1;
      return LENGTH.test(value);
    case 'transfer-encoding':
      counts.codings += 1;
      return value.toLowerCase() === 'chunked';
    default:
      return true;
  }
}

/** Whether the framing can be read in one way only; HTTP/1.0 has no transfer codings. */
function isFramedOnce({ lengths, codings }: Counts, httpVersion: string): boolean {
  if (!VERSIONS.has(httpVersion)) return false;
  return lengths + codings <= 1 && (codings === 0 || httpVersion !== '1.0');
}

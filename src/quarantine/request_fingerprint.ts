/**
 * Fingerprint that identifies a request which crashes upstream instances: `HEAD`, or `HEAD.BODY` if the
 * body is needed to identify it. A claim's fingerprint covers more of the body but not the upstream.
 */
import { createHash } from 'node:crypto';
import { type IncomingMessage } from 'node:http';
import { IDEMPOTENCY_KEY } from '../requests/headers.js';

/** Length of the part of a body that is digested, in bytes. */
export const MAX_DIGESTED_BYTES = 4096;
const DIGEST_LENGTH = 24;
const READ_MARK = 'r';
const WRITE_MARK = 'w';

/** The parts of a request that its head fingerprint covers. */
export type FingerprintedMessage = Pick<IncomingMessage, 'method' | 'url' | 'headers'>;

/**
 * Digest of upstream, method, URL, idempotency key and caller, marked as a read if many callers send it
 * alike. Another caller's request of the same content may be harmless: if it counted as the same one,
 * its success would clear the request that crashes instances. Without a caller the digest is that of
 * earlier releases.
 */
export function headFingerprint(
  upstream: string,
  { method, url, headers }: FingerprintedMessage,
  caller = '',
): string {
  const key = headers[IDEMPOTENCY_KEY] ?? '';
  const mark = !hasBody({ headers }) && (method === 'GET' || method === 'HEAD');
  const parts = JSON.stringify([upstream, method, url, key, ...(caller === '' ? [] : [caller])]);
  return (mark ? READ_MARK : WRITE_MARK) + digest(parts);
}

/** Whether the body is needed as well; an idempotency key identifies the request without it. */
export function needsBody(message: Pick<FingerprintedMessage, 'headers'>): boolean {
  return message.headers[IDEMPOTENCY_KEY] === undefined && hasBody(message);
}

/** Head fingerprint with a digest of the beginning of the body. */
export function wholeFingerprint(head: string, prefix: readonly Buffer[]): string {
  const bytes = Buffer.concat(prefix).subarray(0, MAX_DIGESTED_BYTES);
  return `${head}.${digest(bytes)}`;
}

/** The head part of a fingerprint. */
export function headOf(fingerprint: string): string {
  return fingerprint.split('.', 1)[0]!;
}

/** Whether the request is a read without a body, which many callers send alike. */
export function isRead(fingerprint: string): boolean {
  return fingerprint.startsWith(READ_MARK);
}

function hasBody({ headers }: Pick<FingerprintedMessage, 'headers'>): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

function digest(data: string | Buffer): string {
  return createHash('sha256').update(data).digest('hex').slice(0, DIGEST_LENGTH);
}

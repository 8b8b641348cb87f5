/**
 * What tells the request that crashes upstreams from others: `HEAD`, or `HEAD.BODY` where the body
 * tells it from others. A claim's fingerprint covers more of the body but not the upstream.
 */
import { createHash } from 'node:crypto';
import { type IncomingMessage } from 'node:http';
import { IDEMPOTENCY_KEY } from '../requests/headers.js';

/** How much of a body is digested, in bytes. */
export const MAX_DIGESTED_BYTES = 4096;
const DIGEST_LENGTH = 24;
const READ_MARK = 'r';
const WRITE_MARK = 'w';

/** What a head is made from. */
export type FingerprintedMessage = Pick<IncomingMessage, 'method' | 'url' | 'headers'>;

/** The head: digest over upstream, method, path and key, marked as a read if many callers send it alike. */
export function headFingerprint(
  upstream: string,
  { method, url, headers }: FingerprintedMessage,
): string {
  const key = headers[IDEMPOTENCY_KEY] ?? '';
  const mark = !hasBody({ headers }) && (method === 'GET' || method === 'HEAD');
  const parts = JSON.stringify([upstream, method, url, key]);
  return (mark ? READ_MARK : WRITE_MARK) + digest(parts);
}

/** Whether the body is needed as well: it is not where a key stands for the whole request. */
export function needsBody(message: Pick<FingerprintedMessage, 'headers'>): boolean {
  return message.headers[IDEMPOTENCY_KEY] === undefined && hasBody(message);
}

/** Head and digest of the beginning of the body. */
export function wholeFingerprint(head: string, prefix: readonly Buffer[]): string {
  const bytes = Buffer.concat(prefix).subarray(0, MAX_DIGESTED_BYTES);
  return `${head}.${digest(bytes)}`;
}

/** The head of a whole fingerprint. */
export function headOf(fingerprint: string): string {
  return fingerprint.split('.', 1)[0]!;
}

/** Whether the request is a read without a body, which innocent callers send alike. */
export function isRead(fingerprint: string): boolean {
  return fingerprint.startsWith(READ_MARK);
}

function hasBody({ headers }: Pick<FingerprintedMessage, 'headers'>): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

function digest(data: string | Buffer): string {
  return createHash('sha256').update(data).digest('hex').slice(0, DIGEST_LENGTH);
}

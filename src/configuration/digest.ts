/** Digests of resources, configurations and versions: SHA-256 over canonical JSON, in hex. */
import { createHash } from 'node:crypto';
import { configure } from 'safe-stable-stringify';

const stringify = configure({ deterministic: true });

export function canonical(value: unknown): string {
  return stringify(value) ?? 'null';
}

export function digestOf(value: unknown): string {
  return sha256(canonical(value));
}

/** Digest of a text, in hex. */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Digest of version 0, the empty configuration that every chain starts from. */
export const GENESIS = digestOf('barleyhaven');

/**
 * Summaries of configurations: hashes per bucket that show where two configurations differ,
 * whatever their versions.
 */
import { type ResourceKey } from '../contracts.js';
import { fnv1a } from '../runtime/hash.js';

/** Number of buckets; a difference includes all resources of each bucket that differs. */
export const SUMMARY_BUCKETS = 128;
const HASH_DIGITS = 8;
const HEXADECIMAL = 16;

/**
 * Contribution of a resource to a summary: its bucket, and a hash that changes with its content.
 */
export interface Contribution {
  readonly bucket: number;
  readonly hash: number;
}

export function contributionOf(key: ResourceKey, digest: string): Contribution {
  const hash = Number.parseInt(digest.slice(0, HASH_DIGITS), HEXADECIMAL);
  return { bucket: (fnv1a(key) >>> 0) % SUMMARY_BUCKETS, hash };
}

/** Combines the hashes of each bucket by XOR, independently of their order. */
export function summaryOf(contributions: Iterable<Contribution>): number[] {
  const hashes = Array.from({ length: SUMMARY_BUCKETS }, () => 0);
  for (const { bucket, hash } of contributions) hashes[bucket] = hashes[bucket]! ^ hash;
  return hashes;
}

/** The buckets in which two summaries differ. */
export function differingBuckets(one: readonly number[], other: readonly number[]): number[] {
  return Array.from({ length: SUMMARY_BUCKETS }, (_, bucket) => bucket).filter(
    (bucket) => one[bucket] !== other[bucket],
  );
}

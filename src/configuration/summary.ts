/** A few numbers that tell where two configurations differ, whatever versions they are. */
import { type ResourceKey } from '../contracts.js';
import { fnv1a } from '../runtime/hash.js';

/** Parts into which resources are divided; a difference costs the parts that it touches. */
export const BUCKETS = 128;
const MARK_DIGITS = 8;
const HEXADECIMAL = 16;

/** What a resource contributes: its bucket, and a mark that changes with its content. */
export interface Contribution {
  readonly bucket: number;
  readonly mark: number;
}

export function contributionOf(key: ResourceKey, digest: string): Contribution {
  const mark = Number.parseInt(digest.slice(0, MARK_DIGITS), HEXADECIMAL);
  return { bucket: (fnv1a(key) >>> 0) % BUCKETS, mark };
}

/** The marks of each bucket together, the same whatever their order. */
export function summaryOf(contributions: Iterable<Contribution>): number[] {
  const marks = Array.from({ length: BUCKETS }, () => 0);
  for (const { bucket, mark } of contributions) marks[bucket] = marks[bucket]! ^ mark;
  return marks;
}

/** The buckets in which two summaries differ. */
export function differingBuckets(one: readonly number[], other: readonly number[]): number[] {
  return Array.from({ length: BUCKETS }, (_, bucket) => bucket).filter(
    (bucket) => one[bucket] !== other[bucket],
  );
}

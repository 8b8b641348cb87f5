/** Partitions the resources of a configuration by key range into parts that fit into one value. */
import { type Resource, resourceKey } from '../contracts.js';

/** Largest part, in bytes of JSON; small enough to be read within milliseconds. */
export const MAX_PART_BYTES = 256_000;
/** Adjacent ranges up to this total size are merged, which limits the number of parts. */
const MERGE_BYTES = MAX_PART_BYTES / 4;

/**
 * Splits resources, given in key order, at the pivots: the first keys of the previous snapshot's
 * parts. A part whose range has not changed is then identical byte for byte and need not be written
 * again. Splitting by size instead would let one insertion shift all parts after it.
 */
export function partition(
  resources: readonly Resource[],
  pivots: readonly string[],
): readonly (readonly Resource[])[] {
  const ranges = splitAtPivots(resources, pivots);
  const merged: Resource[][] = [];
  for (const range of ranges) {
    const last = merged.at(-1);
    if (last && bytesOf(last) + bytesOf(range) <= MERGE_BYTES) last.push(...range);
    else merged.push(range);
  }
  return merged.flatMap(splitLarge);
}

function splitAtPivots(resources: readonly Resource[], pivots: readonly string[]): Resource[][] {
  const ranges: Resource[][] = [];
  let nextPivot = 0;
  let range: Resource[] = [];
  for (const resource of resources) {
    const key = resourceKey(resource);
    while (nextPivot < pivots.length && key >= pivots[nextPivot]!) {
      if (range.length > 0) ranges.push(range);
      range = [];
      nextPivot += 1;
    }
    range.push(resource);
  }
  if (range.length > 0) ranges.push(range);
  return ranges;
}

/** Splits a range over the largest size into parts of about half of it. */
function splitLarge(range: Resource[]): Resource[][] {
  if (bytesOf(range) <= MAX_PART_BYTES) return [range];
  const parts: Resource[][] = [];
  let bytes = Infinity;
  for (const resource of range) {
    const size = bytesOf([resource]);
    if (bytes + size > MAX_PART_BYTES / 2) {
      parts.push([]);
      bytes = 0;
    }
    parts.at(-1)!.push(resource);
    bytes += size;
  }
  return parts;
}

function bytesOf(resources: readonly Resource[]): number {
  return Buffer.byteLength(JSON.stringify(resources));
}

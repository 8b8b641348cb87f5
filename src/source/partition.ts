/** Splits the resources of a configuration by key range into parts that fit into one value. */
import { type Resource, resourceKey } from '../contracts.js';

/** Largest part, in bytes of JSON; one call reads it in milliseconds. */
export const MAX_PART_BYTES = 256_000;
/** Neighbours that are this small together are joined, which bounds the number of parts. */
const JOIN_BYTES = MAX_PART_BYTES / 4;

/**
 * Splits resources, given in key order, at the pivots of the snapshot before: the first keys of
 * its parts. A part whose range saw no change then stays the same to the byte and need not be
 * written again. Were the cuts made anew by size, one insertion would shift all that follow.
 */
export function partition(
  resources: readonly Resource[],
  pivots: readonly string[],
): readonly (readonly Resource[])[] {
  const ranges = cut(resources, pivots);
  const joined: Resource[][] = [];
  for (const range of ranges) {
    const last = joined.at(-1);
    if (last && bytesOf(last) + bytesOf(range) <= JOIN_BYTES) last.push(...range);
    else joined.push(range);
  }
  return joined.flatMap(split);
}

function cut(resources: readonly Resource[], pivots: readonly string[]): Resource[][] {
  const ranges: Resource[][] = [];
  let upcoming = 0;
  let range: Resource[] = [];
  for (const resource of resources) {
    const key = resourceKey(resource);
    while (upcoming < pivots.length && key >= pivots[upcoming]!) {
      if (range.length > 0) ranges.push(range);
      range = [];
      upcoming += 1;
    }
    range.push(resource);
  }
  if (range.length > 0) ranges.push(range);
  return ranges;
}

/** Splits a range that has grown too large into parts of about half the largest size. */
function split(range: Resource[]): Resource[][] {
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

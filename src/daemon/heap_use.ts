/** Memory of this process, as V8 and the system account for it. */
import { getHeapSpaceStatistics, getHeapStatistics } from 'node:v8';

/** Spaces that don't count towards the limit of the old generation. */
const OTHER_SPACES = new Set(['new_space', 'new_large_object_space', 'read_only_space']);
const LIMIT_FLAG = /^--max[-_]old[-_]space[-_]size=(\d+)$/;
const BYTES_PER_MEGABYTE = 1_048_576;

/** In bytes. */
export interface HeapUse {
  /** Objects that have outlived the young ones, with those that are not collected yet. */
  readonly usedBytes: number;
  /** Limit of these, at which V8 aborts the process. */
  readonly limitBytes: number;
  /** All memory of the process that is not swapped out, buffers and code included. */
  readonly residentBytes: number;
}

/**
 * The limit of `getHeapStatistics` includes the young objects, up to 48 MB above what
 * `--max-old-space-size` allows, so it would not be reached. Without that flag it is some gigabytes,
 * and the difference is small.
 */
const LIMIT_BYTES = limitOf([
  ...process.execArgv,
  ...(process.env.NODE_OPTIONS ?? '').split(/\s+/),
]);

export function heapUse(): HeapUse {
  return {
    usedBytes: oldGenerationBytes(),
    limitBytes: LIMIT_BYTES,
    residentBytes: process.memoryUsage.rss(),
  };
}

function limitOf(flags: readonly string[]): number {
  for (const flag of flags) {
    const [, megabytes] = LIMIT_FLAG.exec(flag) ?? [];
    if (Number(megabytes) > 0) return Number(megabytes) * BYTES_PER_MEGABYTE;
  }
  return getHeapStatistics().heap_size_limit;
}

function oldGenerationBytes(): number {
  let bytes = 0;
  for (const { space_name: name, space_used_size: used } of getHeapSpaceStatistics()) {
    if (!OTHER_SPACES.has(name)) bytes += used;
  }
  return bytes;
}

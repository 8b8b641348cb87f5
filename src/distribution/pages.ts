/** Splits a configuration into pages, which are built once and served to many processes. */
import { type Resource, type Snapshot, type SnapshotPage, type Version } from '../contracts.js';
import { type Replica } from './replica.js';

/** Maximum size of a page, and of several versions in one answer, in bytes of JSON. */
export const MAX_PAGE_BYTES = 128 * 1024;

/**
 * Maximum size of a change that is sent as one message, in bytes of JSON. With the limit of a page
 * instead, every process would have to pull the whole configuration for any larger change.
 */
export const MAX_CHANGE_BYTES = 1024 * 1024;

/** A snapshot of one version, split into pages. */
interface PagedSnapshot {
  readonly number: number;
  readonly pages: readonly SnapshotPage[];
}

/**
 * Number of snapshots whose pages are kept, so that a process that is collecting the previous one
 * can finish.
 */
const MAX_PAGED_SNAPSHOTS = 2;

export class SnapshotPager {
  /** Latest first. */
  #pagedSnapshots: readonly PagedSnapshot[] = [];

  constructor(private readonly replica: Replica) {}

  /**
   * Returns the page that starts at resource `offset` of version `number`; if it is not kept, the
   * first page of a version above `after`, the version that the requesting process holds.
   */
  page(number: number | undefined, offset: number, after: number): SnapshotPage {
    const wanted = this.#pagedSnapshots
      .find((snapshot) => snapshot.number === number)
      ?.pages.find((page) => page.offset === offset);
    return wanted ?? this.#pagesAfter(after)[0]!;
  }

  /**
   * Returns the pages of the latest kept snapshot, or builds new ones. If each version got new
   * pages, a process that pulls during a burst of versions would have to start over with each of
   * them. Kept pages are reused while the replica still has the versions that follow them, and only
   * for processes behind them: to any other process they bring nothing new, and it would stay
   * behind forever.
   */
  #pagesAfter(after: number): readonly SnapshotPage[] {
    const [latest] = this.#pagedSnapshots;
    if (latest && latest.number > after && this.replica.since(latest.number)) return latest.pages;
    const snapshot = this.replica.snapshot();
    const paged = { number: snapshot.number, pages: paginate(snapshot) };
    this.#pagedSnapshots = [paged, ...this.#pagedSnapshots].slice(0, MAX_PAGED_SNAPSHOTS);
    return paged.pages;
  }
}

/** Approximate size of a version, in bytes of its JSON. */
export function versionBytes(version: Version): number {
  const known = versionSizes.get(version);
  if (known !== undefined) return known;
  const size = JSON.stringify(version).length;
  versionSizes.set(version, size);
  return size;
}

const versionSizes = new WeakMap<Version, number>();

function paginate({ number, digest, parent, resources }: Snapshot): SnapshotPage[] {
  const pages: SnapshotPage[] = [];
  let offset = 0;
  for (const batch of splitBySize(resources)) {
    pages.push({ number, digest, parent, offset, total: resources.length, resources: batch });
    offset += batch.length;
  }
  return pages;
}

function splitBySize(resources: readonly Resource[]): Resource[][] {
  const batches: Resource[][] = [[]];
  let bytes = 0;
  for (const resource of resources) {
    const size = JSON.stringify(resource).length;
    if (bytes > 0 && bytes + size > MAX_PAGE_BYTES) {
      batches.push([]);
      bytes = 0;
    }
    batches.at(-1)!.push(resource);
    bytes += size;
  }
  return batches;
}

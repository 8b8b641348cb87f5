/** A whole configuration cut into pages that are made once and served to many. */
import { type Resource, type Snapshot, type SnapshotPage, type Version } from '../contracts.js';
import { type Replica } from './replica.js';

/** Size of a page, or of several versions in one answer, in bytes of JSON. */
export const PAGE_BYTES = 128 * 1024;

export class Pages {
  #cut: { readonly number: number; readonly pages: readonly SnapshotPage[] } | undefined;

  constructor(private readonly replica: Replica) {}

  /** The page that starts at resource `offset` of version `number`, or else the first page. */
  page(number: number | undefined, offset: number): SnapshotPage {
    const pages = this.#pages();
    const wanted = pages.find((page) => page.number === number && page.offset === offset);
    return wanted ?? pages[0]!;
  }

  /**
   * Were pages made anew for each version, a process that pulls through a burst of versions would
   * begin again with each. The old ones serve as long as the versions after them are kept.
   */
  #pages(): readonly SnapshotPage[] {
    if (this.#cut && this.replica.since(this.#cut.number)) return this.#cut.pages;
    const snapshot = this.replica.snapshot();
    this.#cut = { number: snapshot.number, pages: cut(snapshot) };
    return this.#cut.pages;
  }
}

/** Bytes that a version takes, roughly: those of its JSON. */
export function sizeOf(version: Version): number {
  const known = sizes.get(version);
  if (known !== undefined) return known;
  const size = JSON.stringify(version).length;
  sizes.set(version, size);
  return size;
}

const sizes = new WeakMap<Version, number>();

function cut({ number, digest, parent, resources }: Snapshot): SnapshotPage[] {
  const pages: SnapshotPage[] = [];
  let offset = 0;
  for (const batch of batches(resources)) {
    pages.push({ number, digest, parent, offset, total: resources.length, resources: batch });
    offset += batch.length;
  }
  return pages;
}

function batches(resources: readonly Resource[]): Resource[][] {
  const found: Resource[][] = [[]];
  let bytes = 0;
  for (const resource of resources) {
    const size = JSON.stringify(resource).length;
    if (bytes > 0 && bytes + size > PAGE_BYTES) {
      found.push([]);
      bytes = 0;
    }
    found.at(-1)!.push(resource);
    bytes += size;
  }
  return found;
}

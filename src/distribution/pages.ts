/** A whole configuration cut into pages that are made once and served to many. */
import { type Resource, type Snapshot, type SnapshotPage, type Version } from '../contracts.js';
import { type Replica } from './replica.js';

/** Size of a page, or of several versions in one answer, in bytes of JSON. */
export const PAGE_BYTES = 128 * 1024;

/**
 * Largest change that goes as one message, in bytes of JSON. Were a larger one than a page cut off
 * here, each process would pull the whole configuration instead of what it lacks.
 */
export const CHANGE_BYTES = 1024 * 1024;

/** One version, cut up. */
interface Cut {
  readonly number: number;
  readonly pages: readonly SnapshotPage[];
}

/** Versions whose pages are kept: whoever is collecting the earlier one goes on with it. */
const MAX_CUTS = 2;

export class Pages {
  /** The latest comes first. */
  #cuts: readonly Cut[] = [];

  constructor(private readonly replica: Replica) {}

  /**
   * The page that starts at resource `offset` of version `number`, or else the first page of a
   * version above `after`, which the asking process holds.
   */
  page(number: number | undefined, offset: number, after: number): SnapshotPage {
    const wanted = this.#cuts
      .find((cut) => cut.number === number)
      ?.pages.find((page) => page.offset === offset);
    return wanted ?? this.#pages(after)[0]!;
  }

  /**
   * Were pages made anew for each version, a process that pulls through a burst of versions would
   * begin again with each. The old ones serve as long as the versions after them are kept, and only
   * whoever is behind them: served to others they change nothing, and who asked stays behind for good.
   */
  #pages(after: number): readonly SnapshotPage[] {
    const [cut] = this.#cuts;
    if (cut && cut.number > after && this.replica.since(cut.number)) return cut.pages;
    const snapshot = this.replica.snapshot();
    const made = { number: snapshot.number, pages: cutUp(snapshot) };
    this.#cuts = [made, ...this.#cuts].slice(0, MAX_CUTS);
    return made.pages;
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

function cutUp({ number, digest, parent, resources }: Snapshot): SnapshotPage[] {
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

/** Compares strategies for splitting a snapshot by the bytes rewritten after 2% of it changed. */
import { createHash } from 'node:crypto';
import { type Resource, Route } from '../contracts.js';
import { type Random, SeededRandom } from '../runtime/random.js';
import { MAX_PART_BYTES, partition } from '../source/partition.js';

const RESOURCES = 10_000;
const CHANGED = 200;
const ROUTES_PER_TEAM = 100;
const RUNS = 20;
const SEED = 7;

type Parts = readonly (readonly Resource[])[];

abstract class Split {
  abstract split(resources: readonly Resource[]): Parts;

  /** Splits `after`; `before` holds the parts of the previous snapshot. */
  abstract splitAgain(before: Parts, after: readonly Resource[]): Parts;
}

/** By a hash of the name, into as many parts (a power of two) as the maximum part size requires. */
class HashedSplit extends Split {
  split(resources: readonly Resource[]): Parts {
    const count = 2 ** Math.ceil(Math.log2(bytesOf(resources) / MAX_PART_BYTES));
    const parts: Resource[][] = Array.from({ length: count }, () => []);
    for (const resource of resources) {
      const hash = createHash('sha256').update(resource.name).digest();
      parts[hash.readUInt32BE(0) % count]!.push(resource);
    }
    return parts.filter((part) => part.length > 0);
  }

  splitAgain(_: Parts, after: readonly Resource[]): Parts {
    return this.split(after);
  }
}

/** By key range, with new boundaries each time. */
class FreshRangeSplit extends Split {
  split(resources: readonly Resource[]): Parts {
    return partition(resources, []);
  }

  splitAgain(_: Parts, after: readonly Resource[]): Parts {
    return this.split(after);
  }
}

/** By key range, keeping the boundaries of the previous snapshot. */
class KeptRangeSplit extends FreshRangeSplit {
  override splitAgain(before: Parts, after: readonly Resource[]): Parts {
    return partition(
      after,
      before.map((part) => `route/${part[0]!.name}`),
    );
  }
}

type Pattern = (resources: readonly Resource[], random: Random) => Resource[];

const PATTERNS: Readonly<Record<string, Pattern>> = {
  changedAnywhere: (resources, random) => {
    const next = [...resources];
    for (let index = 0; index < CHANGED; index++) changeRoute(next, random.below(RESOURCES), index);
    return next;
  },
  changedTogether: (resources, random) => {
    const next = [...resources];
    const from = random.below(RESOURCES - CHANGED);
    for (let index = 0; index < CHANGED; index++) changeRoute(next, from + index, index);
    return next;
  },
  addedAnywhere: (resources, random) => {
    const added = Array.from({ length: CHANGED }, (_, index) =>
      makeRoute(`${resources[random.below(RESOURCES)]!.name}-n${index}`, '/new'),
    );
    return sortByName([...resources, ...added]);
  },
  addedTogether: (resources, random) => {
    const team = routeName(random.below(RESOURCES));
    const added = Array.from({ length: CHANGED }, (_, index) =>
      makeRoute(`${team}-n${index}`, '/new'),
    );
    return sortByName([...resources, ...added]);
  },
};

/** Mean bytes and parts rewritten, by pattern of change and by strategy. */
export function compareSplits(): object {
  const resources = sortByName(
    Array.from({ length: RESOURCES }, (_, index) => makeRoute(routeName(index), `/${index}`)),
  );
  const splits = {
    hashed: new HashedSplit(),
    fresh: new FreshRangeSplit(),
    kept: new KeptRangeSplit(),
  };
  const patterns = Object.entries(PATTERNS).map(([name, pattern]) => {
    const ways = Object.entries(splits).map(([way, split]) => [
      way,
      rewriteCost(split, resources, pattern),
    ]);
    return [name, Object.fromEntries(ways) as object];
  });
  const bytes = bytesOf(resources);
  return { resources: RESOURCES, changed: CHANGED, bytes, ...Object.fromEntries(patterns) };
}

function rewriteCost(split: Split, resources: readonly Resource[], pattern: Pattern): object {
  const random = new SeededRandom(SEED);
  const before = split.split(resources);
  const known = new Set(before.map((part) => JSON.stringify(part)));
  let bytes = 0;
  let parts = 0;
  for (let run = 0; run < RUNS; run++) {
    const after = split.splitAgain(before, pattern(resources, random));
    const written = after.filter((part) => !known.has(JSON.stringify(part)));
    bytes += written.reduce((sum, part) => sum + bytesOf(part), 0) / RUNS;
    parts += written.length / RUNS;
  }
  const perCent = Math.round((1000 * bytes) / bytesOf(resources)) / 10;
  return {
    bytes: Math.round(bytes),
    perCent,
    parts: Math.round(parts * 10) / 10,
    of: before.length,
  };
}

function changeRoute(resources: Resource[], index: number, run: number): void {
  const { name } = resources[index]!;
  resources[index] = makeRoute(name, `/changed/${run}`);
}

/** Routes are named after their teams, a hundred each, so that related ones sort together. */
function routeName(index: number): string {
  const team = String(Math.floor(index / ROUTES_PER_TEAM)).padStart(3, '0');
  return `team-${team}-${String(index % ROUTES_PER_TEAM).padStart(2, '0')}`;
}

function makeRoute(name: string, pathPrefix: string): Resource {
  return Route.parse({ kind: 'route', name, pathPrefix, upstream: 'listings', limit: 'standard' });
}

function sortByName(resources: Resource[]): Resource[] {
  return resources.sort((a, b) => (a.name < b.name ? -1 : 1));
}

function bytesOf(resources: readonly Resource[]): number {
  return Buffer.byteLength(JSON.stringify(resources));
}

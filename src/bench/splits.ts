/** Compares ways to split a snapshot by the bytes written again when 2% of it has changed. */
import { createHash } from 'node:crypto';
import { type Resource, Route } from '../contracts.js';
import { type Random, SeededRandom } from '../runtime/random.js';
import { MAX_PART_BYTES, partition } from '../source/partition.js';

const RESOURCES = 10_000;
const CHANGED = 200;
const TEAM = 100;
const RUNS = 20;
const SEED = 7;

type Parts = readonly (readonly Resource[])[];

/** Splits `after`; `before` is how the snapshot before was split. */
abstract class Split {
  abstract first(resources: readonly Resource[]): Parts;

  abstract next(before: Parts, after: readonly Resource[]): Parts;
}

/** By a hash of the key, into as many parts as the largest part's size asks for. */
class HashedSplit extends Split {
  first(resources: readonly Resource[]): Parts {
    const count = 2 ** Math.ceil(Math.log2(bytesOf(resources) / MAX_PART_BYTES));
    const parts: Resource[][] = Array.from({ length: count }, () => []);
    for (const resource of resources) {
      const hash = createHash('sha256').update(resource.name).digest();
      parts[hash.readUInt32BE(0) % count]!.push(resource);
    }
    return parts.filter((part) => part.length > 0);
  }

  next(_: Parts, after: readonly Resource[]): Parts {
    return this.first(after);
  }
}

/** By key range, cut anew each time. */
class FreshRangeSplit extends Split {
  first(resources: readonly Resource[]): Parts {
    return partition(resources, []);
  }

  next(_: Parts, after: readonly Resource[]): Parts {
    return this.first(after);
  }
}

/** By key range, cut at the pivots of the snapshot before. */
class KeptRangeSplit extends FreshRangeSplit {
  override next(before: Parts, after: readonly Resource[]): Parts {
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
    for (let index = 0; index < CHANGED; index++) change(next, random.below(RESOURCES), index);
    return next;
  },
  changedTogether: (resources, random) => {
    const next = [...resources];
    const from = random.below(RESOURCES - CHANGED);
    for (let index = 0; index < CHANGED; index++) change(next, from + index, index);
    return next;
  },
  addedAnywhere: (resources, random) => {
    const added = Array.from({ length: CHANGED }, (_, index) =>
      route(`${resources[random.below(RESOURCES)]!.name}-n${index}`, '/new'),
    );
    return ordered([...resources, ...added]);
  },
  addedTogether: (resources, random) => {
    const team = nameOf(random.below(RESOURCES));
    const added = Array.from({ length: CHANGED }, (_, index) => route(`${team}-n${index}`, '/new'));
    return ordered([...resources, ...added]);
  },
};

/** For each pattern of change and each way to split: mean bytes and parts written again. */
export function compareSplits(): object {
  const resources = ordered(
    Array.from({ length: RESOURCES }, (_, index) => route(nameOf(index), `/${index}`)),
  );
  const splits = {
    hashed: new HashedSplit(),
    fresh: new FreshRangeSplit(),
    kept: new KeptRangeSplit(),
  };
  const patterns = Object.entries(PATTERNS).map(([name, pattern]) => {
    const ways = Object.entries(splits).map(([way, split]) => [
      way,
      cost(split, resources, pattern),
    ]);
    return [name, Object.fromEntries(ways) as object];
  });
  const bytes = bytesOf(resources);
  return { resources: RESOURCES, changed: CHANGED, bytes, ...Object.fromEntries(patterns) };
}

function cost(split: Split, resources: readonly Resource[], pattern: Pattern): object {
  const random = new SeededRandom(SEED);
  const before = split.first(resources);
  const known = new Set(before.map((part) => JSON.stringify(part)));
  let bytes = 0;
  let parts = 0;
  for (let run = 0; run < RUNS; run++) {
    const after = split.next(before, pattern(resources, random));
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

function change(resources: Resource[], index: number, run: number): void {
  const { name } = resources[index]!;
  resources[index] = route(name, `/changed/${run}`);
}

/** Routes are named for their teams, a hundred each, so that related ones are neighbours. */
function nameOf(index: number): string {
  const team = String(Math.floor(index / TEAM)).padStart(3, '0');
  return `team-${team}-${String(index % TEAM).padStart(2, '0')}`;
}

function route(name: string, pathPrefix: string): Resource {
  return Route.parse({ kind: 'route', name, pathPrefix, upstream: 'listings', limit: 'standard' });
}

function ordered(resources: Resource[]): Resource[] {
  return resources.sort((a, b) => (a.name < b.name ? -1 : 1));
}

function bytesOf(resources: readonly Resource[]): number {
  return Buffer.byteLength(JSON.stringify(resources));
}

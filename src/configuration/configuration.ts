import {
  type Change,
  type Kind,
  type Resource,
  type ResourceKey,
  resourceKey,
} from '../contracts.js';
import { firstIndex } from '../runtime/search.js';
import { canonical, digestOf, GENESIS, sha256 } from './digest.js';
import { type Contribution, contributionOf, summaryOf } from './summary.js';

interface ResourceEntry {
  readonly resource: Resource;
  readonly digest: string;
  /** Length as canonical JSON. */
  readonly bytes: number;
  /** Line of the text whose hash is the state digest: key and digest of the resource. */
  readonly digestLine: string;
  /** Contribution of the resource to the configuration's summary. */
  readonly contribution: Contribution;
}

/** Resources by key, with derived values that would otherwise be recomputed for each version. */
interface ResourceSet {
  readonly byKey: ReadonlyMap<ResourceKey, ResourceEntry>;
  /** All keys, sorted. */
  readonly keys: readonly ResourceKey[];
  readonly bytes: number;
}

/**
 * Maximum number of keys in a change that are inserted one by one; above it, sorting all keys is
 * cheaper.
 */
const MAX_INCREMENTAL_KEYS = 64;

/** An immutable set of resources at one version. */
export class Configuration {
  /** Derived data, such as compiled routes, kept as long as the configuration itself. */
  readonly derived = new Map<symbol, unknown>();

  private constructor(
    readonly number: number,
    readonly digest: string,
    private readonly resourceSet: ResourceSet,
    /** Latest derived data of earlier versions, by name; most of it still applies to this one. */
    private readonly inherited: ReadonlyMap<symbol, unknown> = new Map(),
  ) {}

  /** The configuration without resources, version 0. */
  static get empty(): Configuration {
    return EMPTY;
  }

  /** A configuration whose digest is given; `matchesDigest` checks it. */
  static of(number: number, digest: string, resources: Iterable<Resource>): Configuration {
    return new Configuration(
      number,
      digest,
      applyChange(NO_RESOURCES, { put: [...resources], remove: [] }),
    );
  }

  get size(): number {
    return this.resourceSet.keys.length;
  }

  /** Length of all resources as canonical JSON, in bytes. */
  get bytes(): number {
    return this.resourceSet.bytes;
  }

  /**
   * Derived data under that name of this version, or else of the last earlier version that had it.
   */
  latestDerived(name: symbol): unknown {
    return this.derived.get(name) ?? this.inherited.get(name);
  }

  /** Keys of resources that are longer than `maxBytes` as canonical JSON. */
  oversized(maxBytes: number): ResourceKey[] {
    const { byKey } = this.resourceSet;
    return [...byKey].filter(([, { bytes }]) => bytes > maxBytes).map(([key]) => key);
  }

  get(key: ResourceKey): Resource | undefined {
    return this.resourceSet.byKey.get(key)?.resource;
  }

  /** The resource of that kind and name, typed by its kind. */
  find<K extends Kind>(kind: K, name: string): Extract<Resource, { kind: K }> | undefined {
    return this.get(`${kind}/${name}`) as Extract<Resource, { kind: K }> | undefined;
  }

  *all<K extends Kind>(kind: K): Generator<Extract<Resource, { kind: K }>> {
    for (const { resource } of this.resourceSet.byKey.values()) {
      if (resource.kind === kind) yield resource as Extract<Resource, { kind: K }>;
    }
  }

  /** All resources in key order. */
  resources(): Resource[] {
    return this.resourceSet.keys.map((key) => this.get(key)!);
  }

  /** Applies `change` and computes the digest, giving the next version. */
  next(change: Change): Configuration {
    return this.#withChange(change, this.number + 1, this.digest);
  }

  /** Applies `change`, giving version `number`; its digest covers no parent. */
  standalone(change: Change, number: number): Configuration {
    return this.#withChange(change, number, GENESIS);
  }

  /** The change that turns this configuration into one of exactly `resources`. */
  changeTo(resources: readonly Resource[]): Change {
    return this.#changeFrom(resources, this.resourceSet.keys);
  }

  /** Summary from which another process can tell where its configuration differs. */
  get summary(): readonly number[] {
    const entries = [...this.resourceSet.byKey.values()];
    return summaryOf(entries.map(({ contribution }) => contribution));
  }

  /** The resources in these buckets of the summary, in key order. */
  resourcesIn(buckets: readonly number[]): Resource[] {
    return this.#keysIn(buckets).map((key) => this.get(key)!);
  }

  /** Length of the resources in these buckets as canonical JSON, in bytes. */
  bytesIn(buckets: readonly number[]): number {
    const { byKey } = this.resourceSet;
    return this.#keysIn(buckets).reduce((sum, key) => sum + byKey.get(key)!.bytes, 0);
  }

  /**
   * The change that turns this configuration into one that has exactly `resources` in these
   * buckets.
   */
  changeIn(buckets: readonly number[], resources: readonly Resource[]): Change {
    return this.#changeFrom(resources, this.#keysIn(buckets));
  }

  /** Whether the digest matches the resources, given the digest of the parent. */
  matchesDigest(parent: string): boolean {
    return versionDigest(this.number, parent, stateDigest(this.resourceSet)) === this.digest;
  }

  /** Digest over the resources alone, independent of the version. */
  get stateDigest(): string {
    return stateDigest(this.resourceSet);
  }

  #keysIn(buckets: readonly number[]): ResourceKey[] {
    const wanted = new Set(buckets);
    const { byKey, keys } = this.resourceSet;
    return keys.filter((key) => wanted.has(byKey.get(key)!.contribution.bucket));
  }

  /** The change that replaces the resources under `keys` by `resources`. */
  #changeFrom(resources: readonly Resource[], keys: readonly ResourceKey[]): Change {
    const wanted = new Set(resources.map(resourceKey));
    const put = resources.filter((resource) => {
      const held = this.resourceSet.byKey.get(resourceKey(resource));
      return held?.resource !== resource && held?.digest !== entryOf(resource).digest;
    });
    return { put, remove: keys.filter((key) => !wanted.has(key)) };
  }

  #withChange(change: Change, number: number, parent: string): Configuration {
    const resourceSet = applyChange(this.resourceSet, change);
    const inherited = new Map([...this.inherited, ...this.derived]);
    const digest = versionDigest(number, parent, stateDigest(resourceSet));
    return new Configuration(number, digest, resourceSet, inherited);
  }
}

/**
 * These constants stand below the class because some compilers alias the class name within the
 * class; in static fields the alias is not set yet, and the program would fail on start.
 */
const NO_RESOURCES: ResourceSet = { byKey: new Map(), keys: [], bytes: 0 };
const EMPTY = Configuration.of(0, GENESIS, []);

function applyChange(before: ResourceSet, { put, remove }: Change): ResourceSet {
  const byKey = new Map(before.byKey);
  let { bytes } = before;
  for (const key of remove) {
    bytes -= byKey.get(key)?.bytes ?? 0;
    byKey.delete(key);
  }
  for (const resource of put) {
    const key = resourceKey(resource);
    const entry = entryOf(resource);
    bytes += entry.bytes - (byKey.get(key)?.bytes ?? 0);
    byKey.set(key, entry);
  }
  return { byKey, keys: sortedKeys(before, byKey, { put, remove }), bytes };
}

/**
 * Inserts and removes single keys if the change is small: a version changes few of thousands of
 * keys, and sorting all of them would be most of its cost.
 */
function sortedKeys(
  before: ResourceSet,
  byKey: ReadonlyMap<ResourceKey, ResourceEntry>,
  { put, remove }: Change,
): readonly ResourceKey[] {
  if (put.length + remove.length > MAX_INCREMENTAL_KEYS) return [...byKey.keys()].sort();
  const isKept = byKey.size >= before.keys.length && remove.every((key) => byKey.has(key));
  const keys = isKept ? [...before.keys] : before.keys.filter((key) => byKey.has(key));
  for (const resource of put) {
    const key = resourceKey(resource);
    const position = firstIndex(keys.length, (index) => keys[index]! >= key);
    if (keys[position] !== key) keys.splice(position, 0, key);
  }
  return keys;
}

/**
 * Entries by resource. Resources are immutable, and a version is computed several times before it
 * is applied; the cache makes each resource hashed only once.
 */
const ENTRIES = new WeakMap<Resource, ResourceEntry>();

function entryOf(resource: Resource): ResourceEntry {
  let entry = ENTRIES.get(resource);
  if (!entry) {
    const text = canonical(resource);
    const digest = sha256(text);
    const digestLine = `${resourceKey(resource)}=${digest}\n`;
    const contribution = contributionOf(resourceKey(resource), digest);
    entry = { resource, digest, bytes: Buffer.byteLength(text), digestLine, contribution };
    ENTRIES.set(resource, entry);
  }
  return entry;
}

/** Length of the resources that a change puts as canonical JSON, in bytes. */
export function changeBytes({ put }: Change): number {
  return put.reduce((sum, resource) => sum + entryOf(resource).bytes, 0);
}

function versionDigest(number: number, parent: string, state: string): string {
  return digestOf({ number, parent, state });
}

/**
 * Hashes all lines in one call: each update of a hash costs as much as hashing some hundred bytes.
 */
function stateDigest({ byKey, keys }: ResourceSet): string {
  return sha256(keys.map((key) => byKey.get(key)!.digestLine).join(''));
}

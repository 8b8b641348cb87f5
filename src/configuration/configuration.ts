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

interface Held {
  readonly resource: Resource;
  readonly digest: string;
  /** Length as canonical JSON. */
  readonly bytes: number;
  /** What the digest of a configuration is worked out over. */
  readonly line: string;
  /** What a summary of a configuration is made of. */
  readonly contribution: Contribution;
}

/** Resources by key, with what would else be worked out anew for each version. */
interface Holding {
  readonly byKey: ReadonlyMap<ResourceKey, Held>;
  /** All keys in order. */
  readonly keys: readonly ResourceKey[];
  readonly bytes: number;
}

/** Keys that come and go beyond which sorting all of them again is cheaper than finding their places. */
const FEW_KEYS = 64;

/** An immutable set of resources at one version. */
export class Configuration {
  /** Derived data, such as compiled routes, kept as long as the configuration itself. */
  readonly derived = new Map<symbol, unknown>();

  private constructor(
    readonly number: number,
    readonly digest: string,
    private readonly holding: Holding,
    /** What was derived from an earlier version last: most of it still holds. */
    private readonly inherited: ReadonlyMap<symbol, unknown> = new Map(),
  ) {}

  /** Holds nothing. */
  static get empty(): Configuration {
    return EMPTY;
  }

  static of(number: number, digest: string, resources: Iterable<Resource>): Configuration {
    return new Configuration(number, digest, hold(NOTHING, { put: [...resources], remove: [] }));
  }

  get size(): number {
    return this.holding.keys.length;
  }

  /** Length of all resources as canonical JSON. */
  get bytes(): number {
    return this.holding.bytes;
  }

  /** What was derived under that name from this version, or else from the last one that had it. */
  earlier(name: symbol): unknown {
    return this.derived.get(name) ?? this.inherited.get(name);
  }

  /** Keys of resources that are longer than `maxBytes`. */
  oversized(maxBytes: number): ResourceKey[] {
    const { byKey } = this.holding;
    return [...byKey].filter(([, { bytes }]) => bytes > maxBytes).map(([key]) => key);
  }

  isOversized(key: ResourceKey, maxBytes: number): boolean {
    return (this.holding.byKey.get(key)?.bytes ?? 0) > maxBytes;
  }

  get(key: ResourceKey): Resource | undefined {
    return this.holding.byKey.get(key)?.resource;
  }

  /** The resource of that kind and name, typed by its kind. */
  find<K extends Kind>(kind: K, name: string): Extract<Resource, { kind: K }> | undefined {
    return this.get(`${kind}/${name}`) as Extract<Resource, { kind: K }> | undefined;
  }

  *all<K extends Kind>(kind: K): Generator<Extract<Resource, { kind: K }>> {
    for (const { resource } of this.holding.byKey.values()) {
      if (resource.kind === kind) yield resource as Extract<Resource, { kind: K }>;
    }
  }

  /** All resources in key order. */
  resources(): Resource[] {
    return this.holding.keys.map((key) => this.get(key)!);
  }

  /** The configuration after `change`, as the next version, with its digest worked out. */
  next(change: Change): Configuration {
    return this.#after(change, this.number + 1, this.digest);
  }

  /** The configuration after `change` as version `number`; its digest covers no parent. */
  standalone(change: Change, number: number): Configuration {
    return this.#after(change, number, GENESIS);
  }

  /** What turns this configuration into one of exactly `resources`. */
  changeTo(resources: readonly Resource[]): Change {
    return this.#changeTo(resources, this.holding.keys);
  }

  /** Tells another process where its configuration differs. */
  get summary(): readonly number[] {
    const held = [...this.holding.byKey.values()];
    return summaryOf(held.map(({ contribution }) => contribution));
  }

  /** The resources in those buckets of the summary. */
  within(buckets: readonly number[]): Resource[] {
    return this.#keysWithin(buckets).map((key) => this.get(key)!);
  }

  /** Length of the resources in those buckets as canonical JSON. */
  bytesWithin(buckets: readonly number[]): number {
    const { byKey } = this.holding;
    return this.#keysWithin(buckets).reduce((sum, key) => sum + byKey.get(key)!.bytes, 0);
  }

  /** What turns this configuration into one that has exactly `resources` in those buckets. */
  changeWithin(buckets: readonly number[], resources: readonly Resource[]): Change {
    return this.#changeTo(resources, this.#keysWithin(buckets));
  }

  /** Whether the resources are those that the digest was worked out over. */
  matches(parent: string): boolean {
    return chain(this.number, parent, stateDigest(this.holding)) === this.digest;
  }

  /** Digest over the resources alone, whatever the version. */
  get state(): string {
    return stateDigest(this.holding);
  }

  #keysWithin(buckets: readonly number[]): ResourceKey[] {
    const wanted = new Set(buckets);
    const { byKey, keys } = this.holding;
    return keys.filter((key) => wanted.has(byKey.get(key)!.contribution.bucket));
  }

  /** Puts `resources` in the place of what `keys` name. */
  #changeTo(resources: readonly Resource[], keys: readonly ResourceKey[]): Change {
    const wanted = new Set(resources.map(resourceKey));
    const put = resources.filter((resource) => {
      const held = this.holding.byKey.get(resourceKey(resource));
      return held?.resource !== resource && held?.digest !== heldOf(resource).digest;
    });
    return { put, remove: keys.filter((key) => !wanted.has(key)) };
  }

  #after(change: Change, number: number, parent: string): Configuration {
    const holding = hold(this.holding, change);
    const inherited = new Map([...this.inherited, ...this.derived]);
    const digest = chain(number, parent, stateDigest(holding));
    return new Configuration(number, digest, holding, inherited);
  }
}

/**
 * Below the class: some compilers put an alias for its name into it that is not set yet when its
 * static fields are, and the program would end as it starts.
 */
const NOTHING: Holding = { byKey: new Map(), keys: [], bytes: 0 };
const EMPTY = Configuration.of(0, GENESIS, []);

function hold(before: Holding, { put, remove }: Change): Holding {
  const byKey = new Map(before.byKey);
  let { bytes } = before;
  for (const key of remove) {
    bytes -= byKey.get(key)?.bytes ?? 0;
    byKey.delete(key);
  }
  for (const resource of put) {
    const key = resourceKey(resource);
    const held = heldOf(resource);
    bytes += held.bytes - (byKey.get(key)?.bytes ?? 0);
    byKey.set(key, held);
  }
  return { byKey, keys: sortedKeys(before, byKey, { put, remove }), bytes };
}

/** A version changes few of thousands of keys: sorting them all again would be most of its cost. */
function sortedKeys(
  before: Holding,
  byKey: ReadonlyMap<ResourceKey, Held>,
  { put, remove }: Change,
): readonly ResourceKey[] {
  if (put.length + remove.length > FEW_KEYS) return [...byKey.keys()].sort();
  const isKept = byKey.size >= before.keys.length && remove.every((key) => byKey.has(key));
  const keys = isKept ? [...before.keys] : before.keys.filter((key) => byKey.has(key));
  for (const resource of put) {
    const key = resourceKey(resource);
    const place = firstIndex(keys.length, (index) => keys[index]! >= key);
    if (keys[place] !== key) keys.splice(place, 0, key);
  }
  return keys;
}

/**
 * Resources never change, and a version is worked out several times on its way into force: each
 * digest is worked out once.
 */
const HELD = new WeakMap<Resource, Held>();

function heldOf(resource: Resource): Held {
  let held = HELD.get(resource);
  if (!held) {
    const text = canonical(resource);
    const digest = sha256(text);
    const line = `${resourceKey(resource)}=${digest}\n`;
    const contribution = contributionOf(resourceKey(resource), digest);
    held = { resource, digest, bytes: Buffer.byteLength(text), line, contribution };
    HELD.set(resource, held);
  }
  return held;
}

function chain(number: number, parent: string, state: string): string {
  return digestOf({ number, parent, state });
}

/** All at once: each update of a hash costs as much as some hundred bytes of it. */
function stateDigest({ byKey, keys }: Holding): string {
  return sha256(keys.map((key) => byKey.get(key)!.line).join(''));
}

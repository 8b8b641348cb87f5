import { createHash } from 'node:crypto';
import {
  type Change,
  type Kind,
  type Resource,
  type ResourceKey,
  resourceKey,
} from '../contracts.js';
import { canonical, digestOf, GENESIS, sha256 } from './digest.js';

interface Held {
  readonly resource: Resource;
  readonly digest: string;
  /** Length as canonical JSON. */
  readonly bytes: number;
}

/** An immutable set of resources at one version. */
export class Configuration {
  /** Derived data, such as compiled routes, kept as long as the configuration itself. */
  readonly derived = new Map<symbol, unknown>();

  private constructor(
    readonly number: number,
    readonly digest: string,
    private readonly held: ReadonlyMap<ResourceKey, Held>,
  ) {}

  /** Holds nothing. */
  static get empty(): Configuration {
    return EMPTY;
  }

  static of(number: number, digest: string, resources: Iterable<Resource>): Configuration {
    return new Configuration(number, digest, hold(new Map(), { put: [...resources], remove: [] }));
  }

  get size(): number {
    return this.held.size;
  }

  /** Length of all resources as canonical JSON. */
  get bytes(): number {
    let sum = 0;
    for (const { bytes } of this.held.values()) sum += bytes;
    return sum;
  }

  /** Keys of resources that are longer than `maxBytes`. */
  oversized(maxBytes: number): ResourceKey[] {
    return [...this.held].filter(([, { bytes }]) => bytes > maxBytes).map(([key]) => key);
  }

  get(key: ResourceKey): Resource | undefined {
    return this.held.get(key)?.resource;
  }

  /** The resource of that kind and name, typed by its kind. */
  find<K extends Kind>(kind: K, name: string): Extract<Resource, { kind: K }> | undefined {
    return this.held.get(`${kind}/${name}`)?.resource as Extract<Resource, { kind: K }> | undefined;
  }

  *all<K extends Kind>(kind: K): Generator<Extract<Resource, { kind: K }>> {
    for (const { resource } of this.held.values()) {
      if (resource.kind === kind) yield resource as Extract<Resource, { kind: K }>;
    }
  }

  /** All resources in key order. */
  resources(): Resource[] {
    return [...this.held.keys()].sort().map((key) => this.held.get(key)!.resource);
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
    const wanted = new Set(resources.map(resourceKey));
    const put = resources.filter((resource) => {
      const held = this.held.get(resourceKey(resource));
      return held?.resource !== resource && held?.digest !== heldOf(resource).digest;
    });
    return { put, remove: [...this.held.keys()].filter((key) => !wanted.has(key)) };
  }

  /** Whether the resources are those that the digest was worked out over. */
  matches(parent: string): boolean {
    return chain(this.number, parent, stateDigest(this.held)) === this.digest;
  }

  /** Digest over the resources alone, whatever the version. */
  get state(): string {
    return stateDigest(this.held);
  }

  #after(change: Change, number: number, parent: string): Configuration {
    const held = hold(this.held, change);
    return new Configuration(number, chain(number, parent, stateDigest(held)), held);
  }
}

/**
 * Below the class: some compilers put an alias for its name into it that is not set yet when its
 * static fields are, and the program would end as it starts.
 */
const EMPTY = Configuration.of(0, GENESIS, []);

function hold(before: ReadonlyMap<ResourceKey, Held>, change: Change): Map<ResourceKey, Held> {
  const held = new Map(before);
  for (const key of change.remove) held.delete(key);
  for (const resource of change.put) held.set(resourceKey(resource), heldOf(resource));
  return held;
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
    held = { resource, digest: sha256(text), bytes: Buffer.byteLength(text) };
    HELD.set(resource, held);
  }
  return held;
}

function chain(number: number, parent: string, state: string): string {
  return digestOf({ number, parent, state });
}

function stateDigest(held: ReadonlyMap<ResourceKey, Held>): string {
  const hash = createHash('sha256');
  for (const key of [...held.keys()].sort()) hash.update(`${key}=${held.get(key)!.digest}\n`);
  return hash.digest('hex');
}

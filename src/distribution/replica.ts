/** The current configuration of a process. */
import { changeBytes, Configuration } from '../configuration/configuration.js';
import { GENESIS } from '../configuration/digest.js';
import { type Problem, validate, validateChange } from '../configuration/validate.js';
import { type Difference, type Resource, type Snapshot, type Version } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { callEach } from '../runtime/faults.js';
import { sleepUntilAny } from '../runtime/sleep.js';

/** Why a version was refused; the configuration before it stays current. */
export interface Refusal {
  readonly number: number;
  /**
   * - `unreadable`: it does not parse as a version.
   * - `chain`: another version with the same number is current.
   * - `parent`: its parent is not the current version.
   * - `digest`: its content does not match its digest.
   * - `too-large`: it does not fit into the memory of a process.
   * - `invalid`: it has dangling references or breaks rules.
   */
  readonly reason: 'unreadable' | 'chain' | 'parent' | 'digest' | 'too-large' | 'invalid';
  readonly problems: readonly Problem[];
}

/** How a version reached this process: from the source, or from a peer in one of four ways. */
export type VersionOrigin = 'source' | 'push' | 'pull' | 'difference' | 'pages';

/**
 * Maximum size of a configuration, in bytes of canonical JSON. The largest object that the platform
 * stores, 1 MiB, stays below it even if it holds nothing but short keys, whose digests are longer.
 */
const MAX_HELD_BYTES = 16_000_000;
/** Number of recent versions kept, so that neighbours slightly behind need no snapshot. */
const MAX_RECENT_VERSIONS = 256;
/**
 * Most that they hold together, in bytes of canonical JSON; the latest is kept in any case. A few
 * versions with large teams would otherwise use up the memory of the process.
 */
const MAX_RECENT_BYTES = 16_000_000;

/**
 * Holds the current configuration, and only moves forward. A candidate is built and checked
 * separately, and made current by a single assignment, so that no request sees part of a version.
 */
export class Replica {
  #current = Configuration.empty;

  /** Digest of the version before the current one. */
  #parent = GENESIS;

  #recent: Version[] = [];

  #recentBytes = 0;

  /** Number of the version that the first of `#recent` follows. */
  #recentBase = 0;

  #refusal: Refusal | undefined;

  #origin: VersionOrigin = 'source';

  readonly #listeners = new Set<(versions: readonly Version[]) => void>();

  /** Called with each refusal, unless it repeats the previous one. */
  onRefused: (refusal: Refusal) => void = () => {};

  /** Called when a peer serves a version that is no later than the current one. */
  onServedOlder: (served: number) => void = () => {};

  /** How the current version reached this process. */
  get origin(): VersionOrigin {
    return this.#origin;
  }

  get current(): Configuration {
    return this.#current;
  }

  /** The last refused version, until a version is applied. */
  get refusal(): Refusal | undefined {
    return this.#refusal;
  }

  /** Resolves once a version above `number` is current, at `deadline`, or when `signal` aborts. */
  async waitUntilAbove(
    number: number,
    deadline: number,
    clock: Clock,
    signal: AbortSignal,
  ): Promise<void> {
    if (this.#current.number > number) return;
    const reached = new AbortController();
    const check = () => {
      if (this.#current.number > number) reached.abort();
    };
    this.#listeners.add(check);
    await sleepUntilAny(clock, deadline, [signal, reached.signal]);
    this.#listeners.delete(check);
  }

  /**
   * Calls `listener` after each update with the versions newly applied; with none after an
   * installed snapshot.
   */
  onApplied(listener: (versions: readonly Version[]) => void): void {
    this.#listeners.add(listener);
  }

  /** Applies the versions that follow without a gap; false if there is a gap or a refusal. */
  apply(versions: readonly Version[], origin: VersionOrigin = 'source'): boolean {
    const applied: Version[] = [];
    let isApplied = true;
    for (const version of versions) {
      if (version.number < this.#current.number) continue;
      if (version.number === this.#current.number) {
        if (version.digest === this.#current.digest) continue;
        isApplied = this.#refuse(version.number, 'chain', []);
        break;
      }
      isApplied = this.#isNext(version) && this.#applyOne(version);
      if (!isApplied) break;
      applied.push(version);
    }
    if (applied.length === 0) return isApplied;
    this.#origin = origin;
    this.#notifyApplied(applied);
    return isApplied;
  }

  /** Replaces the configuration by a snapshot if that is newer; false if it was refused. */
  install(snapshot: Snapshot, origin: VersionOrigin = 'pages'): boolean {
    if (snapshot.number <= this.#current.number) {
      this.onServedOlder(snapshot.number);
      return true;
    }
    const candidate = Configuration.of(snapshot.number, snapshot.digest, snapshot.resources);
    if (candidate.bytes > MAX_HELD_BYTES) return this.#refuse(snapshot.number, 'too-large', []);
    if (!candidate.matchesDigest(snapshot.parent))
      return this.#refuse(snapshot.number, 'digest', []);
    const problems = validate(candidate);
    if (problems.length > 0) return this.#refuse(snapshot.number, 'invalid', problems);
    this.#current = candidate;
    this.#parent = snapshot.parent;
    this.#recent = [];
    this.#recentBytes = 0;
    this.#recentBase = snapshot.number;
    this.#refusal = undefined;
    this.#origin = origin;
    this.#notifyApplied([]);
    return true;
  }

  /**
   * Applies a peer's version, given the buckets in which it differs from the current configuration.
   * A version that stands alone is applied as a version of its own, so that processes that follow
   * this one receive only the change.
   */
  applyDifference(
    { number, digest, parent, buckets, resources }: Difference,
    acceptedAt: number,
  ): boolean {
    if (number <= this.#current.number) {
      this.onServedOlder(number);
      return true;
    }
    const change = this.#current.changeIn(buckets, resources);
    if (parent !== GENESIS) {
      const merged = this.#current.standalone(change, number).resources();
      return this.install({ number, digest, parent, resources: merged }, 'difference');
    }
    const held = this.#current.digest;
    const version = { number, parent: held, digest, note: '', acceptedAt, change } as const;
    return this.apply([{ ...version, standsAlone: true }], 'difference');
  }

  /** Records that a version cannot be applied, so that operators see why. */
  recordRefusal(
    number: number,
    reason: Refusal['reason'],
    problems: readonly Problem[] = [],
  ): void {
    this.#refuse(number, reason, problems);
  }

  /** Digest of the parent, from which the digest of the current configuration was computed. */
  get parent(): string {
    return this.#parent;
  }

  /** Snapshot of the current configuration. */
  snapshot(): Snapshot {
    const { number, digest } = this.#current;
    return { number, digest, parent: this.#parent, resources: this.#current.resources() };
  }

  /** Versions after `number`, or undefined if they are not kept any more. */
  since(number: number): readonly Version[] | undefined {
    if (number >= this.#current.number) return [];
    if (number === this.#recentBase) return this.#recent;
    const index = this.#recent.findIndex((version) => version.number === number);
    return index < 0 ? undefined : this.#recent.slice(index + 1);
  }

  /**
   * Makes exactly `resources` the current configuration as version `number`, from a source that
   * only holds the newest version. False if that is not newer, or was refused.
   */
  replace(number: number, resources: readonly Resource[], acceptedAt: number): boolean {
    if (number <= this.#current.number) return false;
    const change = this.#current.changeTo(resources);
    const { digest } = this.#current.standalone(change, number);
    const parent = this.#current.digest;
    const version = { number, parent, digest, note: '', acceptedAt, change } as const;
    return this.apply([{ ...version, standsAlone: true }]);
  }

  /**
   * Whether the version directly follows the current one. A gap is no refusal: the versions between
   * are pulled.
   */
  #isNext({ number, parent, standsAlone }: Version): boolean {
    return standsAlone ? parent === this.#current.digest : number === this.#current.number + 1;
  }

  #applyOne(version: Version): boolean {
    const { number, parent, digest, change } = version;
    if (parent !== this.#current.digest) return this.#refuse(number, 'parent', []);
    const { standsAlone } = version;
    const candidate = standsAlone
      ? this.#current.standalone(change, number)
      : this.#current.next(change);
    if (candidate.bytes > MAX_HELD_BYTES) return this.#refuse(number, 'too-large', []);
    if (candidate.digest !== digest) return this.#refuse(number, 'digest', []);
    const problems = validateChange(candidate, change);
    if (problems.length > 0) return this.#refuse(number, 'invalid', problems);
    this.#parent = standsAlone ? GENESIS : parent;
    this.#current = candidate;
    this.#refusal = undefined;
    this.#keepRecent(version);
    return true;
  }

  #keepRecent(version: Version): void {
    this.#recent.push(version);
    this.#recentBytes += changeBytes(version.change);
    while (
      this.#recent.length > MAX_RECENT_VERSIONS ||
      (this.#recentBytes > MAX_RECENT_BYTES && this.#recent.length > 1)
    ) {
      const oldest = this.#recent.shift()!;
      this.#recentBase = oldest.number;
      this.#recentBytes -= changeBytes(oldest.change);
    }
  }

  #refuse(number: number, reason: Refusal['reason'], problems: readonly Problem[]): false {
    const isKnown = this.#refusal?.number === number && this.#refusal.reason === reason;
    this.#refusal = { number, reason, problems };
    if (!isKnown) this.onRefused(this.#refusal);
    return false;
  }

  #notifyApplied(versions: readonly Version[]): void {
    callEach('applied version', this.#listeners, versions);
  }
}

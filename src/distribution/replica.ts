/** The configuration in force at one process. */
import { Configuration } from '../configuration/configuration.js';
import { GENESIS } from '../configuration/digest.js';
import {
  MAX_RESOURCES,
  type Problem,
  validate,
  validateChange,
} from '../configuration/validate.js';
import { type Difference, type Resource, type Snapshot, type Version } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';

/** Why a version was refused; the configuration before it stays in force. */
export interface Refusal {
  readonly number: number;
  /**
   * - `unreadable`: not what a version looks like.
   * - `chain`: another version of the same number is in force.
   * - `parent`: it follows another version than the one in force.
   * - `digest`: its content is not what its digest was worked out over.
   * - `too-large`: it holds more than proxies are sized for.
   * - `invalid`: it breaks references or rules.
   */
  readonly reason: 'unreadable' | 'chain' | 'parent' | 'digest' | 'too-large' | 'invalid';
  readonly problems: readonly Problem[];
}

/** How a version came to a process: from the source, or from a peer in one of four ways. */
export type Origin = 'source' | 'push' | 'pull' | 'difference' | 'pages';

/** Versions kept so that neighbours which are a little behind need no snapshot. */
const RECENT = 256;

/**
 * Holds the configuration in force and moves it forward only. A candidate is built aside and
 * checked whole; one assignment puts it in force, so no request ever sees half of a version.
 */
export class Replica {
  #current = Configuration.empty;

  /** Digest of the version before the current one. */
  #parent = GENESIS;

  #recent: Version[] = [];

  /** Number of the version that the first recent one was made to. */
  #recentAfter = 0;

  #refusal: Refusal | undefined;

  #origin: Origin = 'source';

  readonly #listeners = new Set<(versions: readonly Version[]) => void>();

  /** Called with each refusal that is not the one before again. */
  onRefused: (refusal: Refusal) => void = () => {};

  /** Called when a peer serves what is no newer than what is held. */
  onServedOlder: (served: number) => void = () => {};

  /** How the configuration in force came here. */
  get origin(): Origin {
    return this.#origin;
  }

  get current(): Configuration {
    return this.#current;
  }

  /** The last refused version, until a later one is in force. */
  get refusal(): Refusal | undefined {
    return this.#refusal;
  }

  /** Resolves once a version above `number` is in force, at `deadline`, or when `signal` aborts. */
  async above(number: number, deadline: number, clock: Clock, signal: AbortSignal): Promise<void> {
    if (this.#current.number > number) return;
    const reached = new AbortController();
    const look = () => {
      if (this.#current.number > number) reached.abort();
    };
    this.#listeners.add(look);
    await clock.sleepUntil(deadline, AbortSignal.any([signal, reached.signal]));
    this.#listeners.delete(look);
  }

  /** Calls `listener` after each step forward with the versions newly in force. */
  onApplied(listener: (versions: readonly Version[]) => void): void {
    this.#listeners.add(listener);
  }

  /** Puts those versions in force that follow without a gap; false if there is a gap or a refusal. */
  apply(versions: readonly Version[], origin: Origin = 'source'): boolean {
    const applied: Version[] = [];
    let whole = true;
    for (const version of versions) {
      if (version.number < this.#current.number) continue;
      if (version.number === this.#current.number) {
        if (version.digest === this.#current.digest) continue;
        whole = this.#refuse(version.number, 'chain', []);
        break;
      }
      whole = this.#follows(version) && this.#applyOne(version);
      if (!whole) break;
      applied.push(version);
    }
    if (applied.length === 0) return whole;
    this.#origin = origin;
    this.#announce(applied);
    return whole;
  }

  /** Puts a whole configuration in force if it is newer than the one held. */
  install(snapshot: Snapshot, origin: Origin = 'pages'): boolean {
    if (snapshot.number <= this.#current.number) {
      this.onServedOlder(snapshot.number);
      return true;
    }
    if (snapshot.resources.length > MAX_RESOURCES) {
      return this.#refuse(snapshot.number, 'too-large', []);
    }
    const candidate = Configuration.of(snapshot.number, snapshot.digest, snapshot.resources);
    if (!candidate.matches(snapshot.parent)) return this.#refuse(snapshot.number, 'digest', []);
    const problems = validate(candidate);
    if (problems.length > 0) return this.#refuse(snapshot.number, 'invalid', problems);
    this.#current = candidate;
    this.#parent = snapshot.parent;
    this.#recent = [];
    this.#recentAfter = snapshot.number;
    this.#refusal = undefined;
    this.#origin = origin;
    this.#announce([]);
    return true;
  }

  /**
   * Puts in force what a peer holds, by where it differs from what is held here. One that stands
   * alone becomes a version of its own, so that those who follow this process get just the change.
   */
  settle({ number, digest, parent, buckets, resources }: Difference, acceptedAt: number): boolean {
    if (number <= this.#current.number) {
      this.onServedOlder(number);
      return true;
    }
    const change = this.#current.changeWithin(buckets, resources);
    if (parent !== GENESIS) {
      const whole = this.#current.standalone(change, number).resources();
      return this.install({ number, digest, parent, resources: whole }, 'difference');
    }
    const held = this.#current.digest;
    const version = { number, parent: held, digest, note: '', acceptedAt, change } as const;
    return this.apply([{ ...version, standsAlone: true }], 'difference');
  }

  /** Notes that a version cannot be put in force, so that operators see why it is not. */
  reject(number: number, reason: Refusal['reason']): void {
    this.#refuse(number, reason, []);
  }

  /** Digest over which that of the configuration in force was worked out. */
  get parent(): string {
    return this.#parent;
  }

  /** The whole configuration in force. */
  snapshot(): Snapshot {
    const { number, digest } = this.#current;
    return { number, digest, parent: this.#parent, resources: this.#current.resources() };
  }

  /** Versions after `number`, or undefined if they are not kept any more. */
  since(number: number): readonly Version[] | undefined {
    if (number >= this.#current.number) return [];
    if (number === this.#recentAfter) return this.#recent;
    const index = this.#recent.findIndex((version) => version.number === number);
    return index < 0 ? undefined : this.#recent.slice(index + 1);
  }

  /**
   * Puts exactly `resources` in force as version `number`, from a source that holds nothing but
   * the newest version. False if that is not newer, or was refused.
   */
  replace(number: number, resources: readonly Resource[], acceptedAt: number): boolean {
    if (number <= this.#current.number) return false;
    const change = this.#current.changeTo(resources);
    const { digest } = this.#current.standalone(change, number);
    const parent = this.#current.digest;
    const version = { number, parent, digest, note: '', acceptedAt, change } as const;
    return this.apply([{ ...version, standsAlone: true }]);
  }

  /** A gap is no refusal: what lies between is pulled. */
  #follows({ number, parent, standsAlone }: Version): boolean {
    return standsAlone ? parent === this.#current.digest : number === this.#current.number + 1;
  }

  #applyOne(version: Version): boolean {
    const { number, parent, digest, change } = version;
    if (parent !== this.#current.digest) return this.#refuse(number, 'parent', []);
    if (change.put.length > MAX_RESOURCES) return this.#refuse(number, 'too-large', []);
    const { standsAlone } = version;
    const candidate = standsAlone
      ? this.#current.standalone(change, number)
      : this.#current.next(change);
    if (candidate.digest !== digest) return this.#refuse(number, 'digest', []);
    const problems = validateChange(candidate, change);
    if (problems.length > 0) return this.#refuse(number, 'invalid', problems);
    this.#parent = standsAlone ? GENESIS : parent;
    this.#current = candidate;
    this.#refusal = undefined;
    this.#recent.push(version);
    if (this.#recent.length > RECENT) this.#recentAfter = this.#recent.shift()!.number;
    return true;
  }

  #refuse(number: number, reason: Refusal['reason'], problems: readonly Problem[]): false {
    const isKnown = this.#refusal?.number === number && this.#refusal.reason === reason;
    this.#refusal = { number, reason, problems };
    if (!isKnown) this.onRefused(this.#refusal);
    return false;
  }

  #announce(versions: readonly Version[]): void {
    for (const listener of this.#listeners) listener(versions);
  }
}

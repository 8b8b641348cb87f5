/** Refuses, on all processes and for a limited time, requests that were in flight at several crashes. */
import {
  type Bulletin,
  type Clearance,
  type Death,
  MAX_BULLETIN_ITEMS,
  MAX_SUSPECTS,
  OutcomeError,
} from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { headOf, isRead } from './request_fingerprint.js';

/** A death (crash of an upstream instance) as it is stored. */
interface KnownDeath {
  readonly upstream: string;
  readonly suspects: readonly string[];
  /** In milliseconds since the epoch. */
  readonly diedAt: number;
}

/** In flight at one death, a request may be there by chance; at two, it is taken for the cause. */
const DEATHS_TO_QUARANTINE = 2;
/** How long a death counts, in milliseconds. */
export const DEATH_RETENTION_MS = 600_000;
/**
 * Quarantine of a read, which many callers send alike, after two deaths, in milliseconds; doubles with
 * each further death.
 */
export const MIN_READ_QUARANTINE_MS = 30_000;
/** Longest quarantine of a read, and the quarantine of every other request, in milliseconds. */
export const MAX_QUARANTINE_MS = 600_000;

const EMPTY: Bulletin = { deaths: [], clearances: [] };

/**
 * Every process derives the same quarantines from the same deaths and clearances, so only these are
 * distributed. A request that succeeds after a death is cleared of it: popular reads that were in
 * flight beside the cause succeed on other instances all the time.
 */
export class Quarantine {
  readonly #deaths = new Map<string, KnownDeath>();

  /** Time of the latest success, by fingerprint, in milliseconds since the epoch; suspects only. */
  readonly #clearedAt = new Map<string, number>();

  /** End of the quarantine, by fingerprint, in milliseconds since the epoch. */
  #quarantinedUntil = new Map<string, number>();

  #suspected = new Set<string>();

  /** Head parts of the quarantined fingerprints. */
  #quarantinedHeads = new Set<string>();

  /**
   * @param publish sends a bulletin to the peers.
   */
  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly publish: (bulletin: Bulletin) => void,
  ) {}

  /** Whether no death is stored: the usual case, in which requests need no fingerprint. */
  get isIdle(): boolean {
    if (this.#deaths.size > 0) this.#removeExpired();
    return this.#deaths.size === 0;
  }

  /** Number of deaths stored. */
  get deaths(): number {
    return this.#deaths.size;
  }

  /** Number of fingerprints quarantined now. */
  get size(): number {
    const now = this.clock.now();
    return [...this.#quarantinedUntil.values()].filter((until) => until > now).length;
  }

  /** Whether the body decides if a request with that head is quarantined. */
  needsBody(head: string): boolean {
    return this.#quarantinedHeads.has(head);
  }

  /** Records that the upstream instance beside this process crashed with these requests in flight. */
  recordDeath(upstream: string, suspects: readonly string[]): void {
    if (suspects.length === 0) return;
    const unique = [...new Set(suspects)].slice(0, MAX_SUSPECTS);
    const death = { id: this.random.nonce(), upstream, suspects: unique, ageMs: 0 };
    this.publish(this.merge({ ...EMPTY, deaths: [death] }));
  }

  /** Records the success of a request. */
  recordSuccess(fingerprint: string): void {
    if (!this.#suspected.has(fingerprint)) return;
    this.publish(this.merge({ ...EMPTY, clearances: [{ fingerprint, ageMs: 0 }] }));
  }

  /** Adds the items that are new here, and returns them to be forwarded. */
  merge({ deaths, clearances }: Bulletin): Bulletin {
    this.#removeExpired();
    const added = {
      deaths: deaths.filter((death) => this.#addDeath(death)),
      clearances: clearances.filter((clearance) => this.#addClearance(clearance)),
    };
    if (added.deaths.length + added.clearances.length > 0) this.#recompute();
    return added;
  }

  /** All deaths and the latest clearances, for a peer that has just connected. */
  snapshot(): Bulletin {
    this.#removeExpired();
    const now = this.clock.now();
    const deaths = [...this.#deaths].map(([id, { upstream, suspects, diedAt }]) => ({
      id,
      upstream,
      suspects: [...suspects],
      ageMs: Math.max(0, now - diedAt),
    }));
    const clearances = [...this.#clearedAt].map(([fingerprint, clearedAt]) => ({
      fingerprint,
      ageMs: Math.max(0, now - clearedAt),
    }));
    return { deaths, clearances: clearances.slice(-MAX_BULLETIN_ITEMS) };
  }

  /** Throws `quarantined` (`not-run`), with the end of the quarantine, if the request is quarantined. */
  check(fingerprint: string): void {
    const until = this.#quarantinedUntil.get(fingerprint);
    if (until === undefined || until <= this.clock.now()) return;
    throw new OutcomeError('upstream instances crashed while this request was in flight', {
      verdict: 'not-run',
      reason: 'quarantined',
      retryAt: until,
    });
  }

  #addDeath({ id, upstream, suspects, ageMs }: Death): boolean {
    if (this.#deaths.has(id) || ageMs >= DEATH_RETENTION_MS) return false;
    if (this.#deaths.size >= MAX_BULLETIN_ITEMS && !this.#evictUnrelatedDeath(suspects))
      return false;
    this.#deaths.set(id, { upstream, suspects, diedAt: this.clock.now() - ageMs });
    return true;
  }

  /**
   * When many upstream instances die at once, the table fills with unrelated deaths. A death that shares
   * a suspect with a stored one replaces the oldest stored death that shares none with it.
   */
  #evictUnrelatedDeath(suspects: readonly string[]): boolean {
    if (!suspects.some((suspect) => this.#suspected.has(suspect))) return false;
    for (const [id, held] of this.#deaths) {
      const isRelated = held.suspects.some((suspect) => suspects.includes(suspect));
      if (!isRelated) return this.#deaths.delete(id);
    }
    return false;
  }

  #addClearance({ fingerprint, ageMs }: Clearance): boolean {
    const clearedAt = this.clock.now() - ageMs;
    const latestDeath = this.#latestDeath(fingerprint);
    const held = this.#clearedAt.get(fingerprint) ?? -Infinity;
    // New only if it clears the request of a death: otherwise a popular read would be published for ever.
    if (latestDeath === undefined || held >= latestDeath || clearedAt < latestDeath) return false;
    this.#clearedAt.delete(fingerprint);
    this.#clearedAt.set(fingerprint, clearedAt);
    return true;
  }

  #latestDeath(fingerprint: string): number | undefined {
    let latest: number | undefined;
    for (const { suspects, diedAt } of this.#deaths.values()) {
      if (suspects.includes(fingerprint)) latest = Math.max(latest ?? diedAt, diedAt);
    }
    return latest;
  }

  #removeExpired(): void {
    const since = this.clock.now() - DEATH_RETENTION_MS;
    let isChanged = false;
    for (const [id, { diedAt }] of this.#deaths) {
      if (diedAt <= since) isChanged = this.#deaths.delete(id) || isChanged;
    }
    for (const [fingerprint, clearedAt] of this.#clearedAt) {
      if (clearedAt <= since) this.#clearedAt.delete(fingerprint);
    }
    if (isChanged) this.#recompute();
  }

  /** Derives the quarantines from the stored deaths and clearances. */
  #recompute(): void {
    const deathsOf = new Map<string, number[]>();
    for (const { suspects, diedAt } of this.#deaths.values()) {
      for (const suspect of suspects) {
        const counted = deathsOf.get(suspect) ?? [];
        if (diedAt > (this.#clearedAt.get(suspect) ?? -Infinity)) counted.push(diedAt);
        deathsOf.set(suspect, counted);
      }
    }
    this.#suspected = new Set(deathsOf.keys());
    this.#quarantinedUntil = new Map();
    this.#quarantinedHeads = new Set();
    for (const [fingerprint, deaths] of deathsOf) {
      if (deaths.length < DEATHS_TO_QUARANTINE) continue;
      this.#quarantinedUntil.set(
        fingerprint,
        Math.max(...deaths) + quarantineMs(fingerprint, deaths.length),
      );
      this.#quarantinedHeads.add(headOf(fingerprint));
    }
  }
}

function quarantineMs(fingerprint: string, deaths: number): number {
  if (!isRead(fingerprint)) return MAX_QUARANTINE_MS;
  return Math.min(MAX_QUARANTINE_MS, MIN_READ_QUARANTINE_MS * 2 ** (deaths - DEATHS_TO_QUARANTINE));
}

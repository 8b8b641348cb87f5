/** Requests that were in flight at several upstream deaths are refused for a while, everywhere. */
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

/** A death as it is held here. */
interface KnownDeath {
  readonly upstream: string;
  readonly suspects: readonly string[];
  /** In milliseconds since the epoch. */
  readonly diedAt: number;
}

/** With one death in common a request may be there by chance; with two it is taken for the cause. */
const DEATHS_TO_QUARANTINE = 2;
/** Deaths further back do not count, in milliseconds. */
export const MEMORY_MS = 600_000;
/** Length of a quarantine for what many callers send alike; doubles with each further death. */
export const READ_QUARANTINE_MS = 30_000;
/** Longest quarantine, and the length of all others, in milliseconds. */
export const QUARANTINE_MS = 600_000;

const EMPTY: Bulletin = { deaths: [], clearances: [] };

/**
 * Every process works out the same quarantines from the same deaths and clearances, so only these
 * travel. A request that is answered well after a death is cleared of it: popular reads that were
 * in flight beside the cause are answered elsewhere all the time.
 */
export class Quarantine {
  readonly #deaths = new Map<string, KnownDeath>();

  /** Instant of the latest good answer, by fingerprint; only of those that were suspected. */
  readonly #clearedAt = new Map<string, number>();

  /** Quarantined until, in milliseconds since the epoch, by fingerprint. */
  #until = new Map<string, number>();

  #suspected = new Set<string>();

  /** Quarantined fingerprints without their digest of a body. */
  #heads = new Set<string>();

  /**
   * @param publish sends a bulletin to the neighbours.
   */
  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly publish: (bulletin: Bulletin) => void,
  ) {}

  /** Whether nothing is suspected: the usual case, in which requests need no fingerprint. */
  get isIdle(): boolean {
    if (this.#deaths.size > 0) this.#forget();
    return this.#deaths.size === 0;
  }

  /** Deaths remembered. */
  get deaths(): number {
    return this.#deaths.size;
  }

  /** Requests kept out now, by fingerprint. */
  get size(): number {
    const now = this.clock.now();
    return [...this.#until.values()].filter((until) => until > now).length;
  }

  /** Whether a request with that head may be quarantined, depending on its body. */
  needsBody(head: string): boolean {
    return this.#heads.has(head);
  }

  /** Takes note that the upstream instance beside this process died with these in flight. */
  died(upstream: string, suspects: readonly string[]): void {
    if (suspects.length === 0) return;
    const unique = [...new Set(suspects)].slice(0, MAX_SUSPECTS);
    const death = { id: this.random.nonce(), upstream, suspects: unique, ageMs: 0 };
    this.publish(this.merge({ ...EMPTY, deaths: [death] }));
  }

  /** Takes note of a good answer to a request. */
  completed(fingerprint: string): void {
    if (!this.#suspected.has(fingerprint)) return;
    this.publish(this.merge({ ...EMPTY, clearances: [{ fingerprint, ageMs: 0 }] }));
  }

  /** Takes over what is news, and returns it to be passed on. */
  merge({ deaths, clearances }: Bulletin): Bulletin {
    this.#forget();
    const news = {
      deaths: deaths.filter((death) => this.#takeDeath(death)),
      clearances: clearances.filter((clearance) => this.#takeClearance(clearance)),
    };
    if (news.deaths.length + news.clearances.length > 0) this.#decide();
    return news;
  }

  /** All that is known, for a process that has just started. */
  bulletin(): Bulletin {
    this.#forget();
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

  /** Throws `quarantined` (`not-run`) with the end of the quarantine, if there is one. */
  check(fingerprint: string): void {
    const until = this.#until.get(fingerprint);
    if (until === undefined || until <= this.clock.now()) return;
    throw new OutcomeError('upstreams died with this request in flight', {
      verdict: 'not-run',
      reason: 'quarantined',
      retryAt: until,
    });
  }

  #takeDeath({ id, upstream, suspects, ageMs }: Death): boolean {
    if (this.#deaths.has(id) || ageMs >= MEMORY_MS) return false;
    if (this.#deaths.size >= MAX_BULLETIN_ITEMS && !this.#makeRoom(suspects)) return false;
    this.#deaths.set(id, { upstream, suspects, diedAt: this.clock.now() - ageMs });
    return true;
  }

  /**
   * When a herd of upstreams dies the table is full of deaths that have nothing in common. A death
   * that shares a suspect with one held takes the place of the oldest that shares none with it.
   */
  #makeRoom(suspects: readonly string[]): boolean {
    if (!suspects.some((suspect) => this.#suspected.has(suspect))) return false;
    for (const [id, held] of this.#deaths) {
      const isRelated = held.suspects.some((suspect) => suspects.includes(suspect));
      if (!isRelated) return this.#deaths.delete(id);
    }
    return false;
  }

  #takeClearance({ fingerprint, ageMs }: Clearance): boolean {
    const clearedAt = this.clock.now() - ageMs;
    const latestDeath = this.#latestDeath(fingerprint);
    const held = this.#clearedAt.get(fingerprint) ?? -Infinity;
    // News only if it clears the request of a death: a popular read would be published for ever.
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

  #forget(): void {
    const since = this.clock.now() - MEMORY_MS;
    let isChanged = false;
    for (const [id, { diedAt }] of this.#deaths) {
      if (diedAt <= since) isChanged = this.#deaths.delete(id) || isChanged;
    }
    for (const [fingerprint, clearedAt] of this.#clearedAt) {
      if (clearedAt <= since) this.#clearedAt.delete(fingerprint);
    }
    if (isChanged) this.#decide();
  }

  /** Works the quarantines out anew from the deaths that count. */
  #decide(): void {
    const deathsOf = new Map<string, number[]>();
    for (const { suspects, diedAt } of this.#deaths.values()) {
      for (const suspect of suspects) {
        const counted = deathsOf.get(suspect) ?? [];
        if (diedAt > (this.#clearedAt.get(suspect) ?? -Infinity)) counted.push(diedAt);
        deathsOf.set(suspect, counted);
      }
    }
    this.#suspected = new Set(deathsOf.keys());
    this.#until = new Map();
    this.#heads = new Set();
    for (const [fingerprint, deaths] of deathsOf) {
      if (deaths.length < DEATHS_TO_QUARANTINE) continue;
      this.#until.set(fingerprint, Math.max(...deaths) + lengthOf(fingerprint, deaths.length));
      this.#heads.add(headOf(fingerprint));
    }
  }
}

function lengthOf(fingerprint: string, deaths: number): number {
  if (!isRead(fingerprint)) return QUARANTINE_MS;
  return Math.min(QUARANTINE_MS, READ_QUARANTINE_MS * 2 ** (deaths - DEATHS_TO_QUARANTINE));
}

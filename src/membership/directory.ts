/** Registry of members on the platform: one object per data centre, written by its root only. */
import { type Platform, type Stored } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { TokenBucket } from '../runtime/token_bucket.js';
import { type Pace, STEADY } from './pace.js';
import { type Ranking } from './ranking.js';
import { type Registration, registrationOf, Registrations, recordOf } from './registration.js';
import { type Roster } from './roster.js';
import { isDeadOrLeft } from './member_record.js';

const PREFIX = 'directory/';

const CALL_TIMEOUT_MS = 2_000;
/** No burst: calls are always spaced out. */
const CALL_BURST = 1;
/** Longest wait after failed calls, in milliseconds. */
const MAX_RETRY_DELAY_MS = 40_000;
/** Age in milliseconds from which the cached object is read again before a write. */
const CACHE_TTL_MS = 20_000;
/** Maximum number of dead members removed by one write. */
export const MAX_REMOVED_PER_WRITE = 16;
/** Maximum number of registered members, about 0.7 MB; any one of them leads to the others. */
export const MAX_REGISTERED = 4_000;

/** The object of this data centre as last read or written. */
interface CachedObject {
  readonly stored: Stored | undefined;
  readonly registered: readonly Registration[];
  readonly validUntil: number;
}

/**
 * Registers members, so that processes without links can find each other. If each process
 * registered itself, a fleet of 740 starting at once would need 740 writes and as many listings.
 * One object per data centre costs its root a few, whatever the size.
 *
 * Two roots, or one that was paused, may write at the same time. Writes are conditional on the
 * revision that was read, so the later one fails, reads again and merges its members with those
 * that the other wrote. A write whose response was lost is resolved the same way.
 */
export class Directory {
  readonly #calls: TokenBucket;

  #cached: CachedObject | undefined;

  #conflicts = 0;

  constructor(
    private readonly platform: Platform,
    private readonly roster: Roster,
    private readonly ranking: Ranking,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly pace: Pace = STEADY,
  ) {
    this.#calls = new TokenBucket(clock, pace.callsPerSecond, CALL_BURST);
  }

  /** Number of writes rejected because another process had written first. */
  get conflicts(): number {
    return this.#conflicts;
  }

  /** Merges the members registered in all data centres into the roster, within the call budget. */
  async read(signal: AbortSignal): Promise<void> {
    if (await this.#calls.acquire(signal)) await this.#list();
  }

  /** Keeps the object of this data centre up to date while this process is its root. */
  async run(signal: AbortSignal): Promise<void> {
    const { firstCheckMs, checkIntervalMs } = this.pace;
    let wait = firstCheckMs + this.random.jitter(firstCheckMs);
    while (!signal.aborted) {
      await this.clock.sleepUntil(this.clock.now() + wait, signal);
      if (signal.aborted) return;
      try {
        if (this.ranking.isRoot) await this.#update(signal);
        wait = checkIntervalMs;
      } catch {
        wait = Math.min(MAX_RETRY_DELAY_MS, 2 * wait) - this.random.jitter(firstCheckMs);
        // The platform is unreachable or a response was lost, so the stored value is unknown.
        // Meanwhile membership spreads over links and heartbeats.
        this.#cached = undefined;
      }
    }
  }

  async #update(signal: AbortSignal): Promise<void> {
    if (!this.#cached || this.#cached.validUntil <= this.clock.now()) await this.read(signal);
    if (!this.#cached || !this.ranking.isRoot || !this.#desired(this.#cached.registered)) return;
    if (!(await this.#calls.acquire(signal)) || !this.ranking.isRoot) return;
    await this.#write(this.#cached);
  }

  async #list(): Promise<void> {
    const deadline = this.clock.now() + CALL_TIMEOUT_MS;
    const all = await this.platform.list({ prefix: PREFIX }, deadline);
    const stored = all.find(({ key }) => key === this.#key);
    const validUntil = this.clock.now() + CACHE_TTL_MS;
    this.#cached = { stored, registered: stored ? parseRegistrations(stored) : [], validUntil };
    const members = all.flatMap((object) => parseRegistrations(object)).map(recordOf);
    this.roster.merge(members, { isBulk: true });
  }

  async #write({ stored, registered }: CachedObject): Promise<void> {
    this.#cached = undefined;
    const members = this.#desired(registered);
    if (!members) return;
    const value = JSON.stringify({ members });
    const deadline = this.clock.now() + CALL_TIMEOUT_MS;
    const written = stored
      ? await this.platform.update(this.#key, value, stored.revision, deadline)
      : await this.platform.create(this.#key, value, deadline);
    if (!written) {
      this.#conflicts += 1;
      return;
    }
    const validUntil = this.clock.now() + CACHE_TTL_MS;
    this.#cached = { stored: written, registered: members, validUntil };
  }

  /** The members to register instead; undefined if `registered` is already right. */
  #desired(registered: readonly Registration[]): Registration[] | undefined {
    const { dataCentre } = this.roster.self;
    const members = new Map(registered.map((member) => [member.instance, member]));
    for (const { instance } of this.#removable(registered)) members.delete(instance);
    for (const member of this.roster.live()) {
      if (member.dataCentre !== dataCentre) continue;
      members.set(member.instance, registrationOf(member));
    }
    const sorted = [...members.values()].sort((a, b) => (a.instance < b.instance ? -1 : 1));
    const desired = sorted.slice(0, MAX_REGISTERED);
    return JSON.stringify(desired) === JSON.stringify(registered) ? undefined : desired;
  }

  #removable(registered: readonly Registration[]): Registration[] {
    const dead = registered.filter(({ instance, incarnation }) => {
      const known = this.roster.get(instance);
      return known && isDeadOrLeft(known) && known.incarnation >= incarnation;
    });
    return dead.slice(0, MAX_REMOVED_PER_WRITE);
  }

  get #key(): string {
    return PREFIX + this.roster.self.dataCentre;
  }
}

/** Parses the members of a stored object; an invalid one counts as empty and is overwritten. */
function parseRegistrations({ value }: Stored): Registration[] {
  try {
    return Registrations.parse(JSON.parse(value)).members;
  } catch {
    return [];
  }
}

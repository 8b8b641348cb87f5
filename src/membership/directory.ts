/** Registration in the platform: one object per data centre, written by its root only. */
import { type Platform, type Stored } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { TokenBucket } from '../runtime/token_bucket.js';
import { type Pace, STEADY } from './pace.js';
import { type Ranking } from './ranking.js';
import { type Registration, registrationOf, Registrations, statementOf } from './registration.js';
import { type Roster } from './roster.js';
import { isGone } from './statement.js';

const PREFIX = 'directory/';

const CALL_TIMEOUT_MS = 2_000;
/** Calls are never made two at once. */
const CALLS_AT_ONCE = 1;
/** Pace after failed calls at most, in milliseconds. */
const LOOK_FAILING_MS = 40_000;
/** What was read so long ago is read again before a write, in milliseconds. */
const FRESH_MS = 20_000;
/** Dead members that one write removes at most. */
export const CLEANED_PER_WRITE = 16;
/** Members that are registered at most, about 0.7 MB; any of them leads to the others. */
export const MAX_REGISTERED = 4_000;

/** The own data centre's object as last seen. */
interface Seen {
  readonly stored: Stored | undefined;
  readonly registered: readonly Registration[];
  readonly until: number;
}

/**
 * Were each process to register itself, a herd of 740 that starts at once would need 740 writes
 * and as many listings. One object per data centre costs its root a few, whatever the size.
 *
 * Two roots, or one that was paused, may write at once: updates are conditional on the revision
 * that was read and merged, so the later one fails, reads again and adds to what the other wrote.
 * The same settles a write whose answer was lost.
 */
export class Directory {
  readonly #calls: TokenBucket;

  #seen: Seen | undefined;

  #conflicts = 0;

  constructor(
    private readonly platform: Platform,
    private readonly roster: Roster,
    private readonly ranking: Ranking,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly pace: Pace = STEADY,
  ) {
    this.#calls = new TokenBucket(clock, pace.callsPerSecond, CALLS_AT_ONCE);
  }

  /** Writes that came too late, because another process had written first. */
  get conflicts(): number {
    return this.#conflicts;
  }

  /** Reads who is registered anywhere, when the budget of calls allows it. */
  async read(signal: AbortSignal): Promise<void> {
    if (await this.#calls.admit(signal)) await this.#list();
  }

  /** Keeps the own data centre's object up to date while this process is its root. */
  async run(signal: AbortSignal): Promise<void> {
    const { firstLookMs, lookEveryMs } = this.pace;
    let wait = firstLookMs + this.random.jitter(firstLookMs);
    while (!signal.aborted) {
      await this.clock.sleepUntil(this.clock.now() + wait, signal);
      if (signal.aborted) return;
      try {
        if (this.ranking.isRoot) await this.#tend(signal);
        wait = lookEveryMs;
      } catch {
        wait = Math.min(LOOK_FAILING_MS, 2 * wait) - this.random.jitter(firstLookMs);
        // The platform is away, or an answer was lost: what is stored is not known any more.
        // Links and heartbeats carry membership meanwhile.
        this.#seen = undefined;
      }
    }
  }

  async #tend(signal: AbortSignal): Promise<void> {
    if (!this.#seen || this.#seen.until <= this.clock.now()) await this.read(signal);
    if (!this.#seen || !this.ranking.isRoot || !this.#wanted(this.#seen.registered)) return;
    if (!(await this.#calls.admit(signal)) || !this.ranking.isRoot) return;
    await this.#write(this.#seen);
  }

  async #list(): Promise<void> {
    const deadline = this.clock.now() + CALL_TIMEOUT_MS;
    const all = await this.platform.list({ prefix: PREFIX }, deadline);
    const stored = all.find(({ key }) => key === this.#key);
    const until = this.clock.now() + FRESH_MS;
    this.#seen = { stored, registered: stored ? registeredIn(stored) : [], until };
    const members = all.flatMap((object) => registeredIn(object)).map(statementOf);
    this.roster.merge(members, { isBulk: true });
  }

  async #write({ stored, registered }: Seen): Promise<void> {
    this.#seen = undefined;
    const members = this.#wanted(registered);
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
    const until = this.clock.now() + FRESH_MS;
    this.#seen = { stored: written, registered: members, until };
  }

  /** What should be registered instead; undefined if that is what is. */
  #wanted(registered: readonly Registration[]): Registration[] | undefined {
    const { dataCentre } = this.roster.self;
    const members = new Map(registered.map((member) => [member.instance, member]));
    for (const { instance } of this.#dead(registered)) members.delete(instance);
    for (const member of this.roster.live()) {
      if (member.dataCentre !== dataCentre) continue;
      members.set(member.instance, registrationOf(member));
    }
    const sorted = [...members.values()].sort((a, b) => (a.instance < b.instance ? -1 : 1));
    const wanted = sorted.slice(0, MAX_REGISTERED);
    return JSON.stringify(wanted) === JSON.stringify(registered) ? undefined : wanted;
  }

  #dead(registered: readonly Registration[]): Registration[] {
    const dead = registered.filter(({ instance, incarnation }) => {
      const held = this.roster.get(instance);
      return held && isGone(held) && held.incarnation >= incarnation;
    });
    return dead.slice(0, CLEANED_PER_WRITE);
  }

  get #key(): string {
    return PREFIX + this.roster.self.dataCentre;
  }
}

/** An object that cannot be read counts as empty: its root writes it anew. */
function registeredIn({ value }: Stored): Registration[] {
  try {
    return Registrations.parse(JSON.parse(value)).members;
  } catch {
    return [];
  }
}

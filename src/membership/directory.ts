/** Registration in the platform: one object per data centre, written by its readers only. */
import { z } from 'zod';
import { Member } from '../contracts.js';
import { type Platform, type Stored } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Ranking } from './ranking.js';
import { type Roster } from './roster.js';

const PREFIX = 'directory/';
const Listing = z.strictObject({ members: z.array(Member) });

const CALL_TIMEOUT_MS = 2_000;
/** A data centre's object is written this often at most, in milliseconds. */
const WRITE_EVERY_MS = 1_000;
/** Whether others have registered is looked up this often, in milliseconds. */
const READ_EVERY_MS = 10_000;
/** Members that have been dead this long are left out, in milliseconds. */
const FORGET_MS = 60_000;

/**
 * Were each process to register itself, a herd of 740 that starts at once would need 740 writes
 * and as many listings. One object per data centre costs the readers a few, whatever the size.
 */
export class Directory {
  #written = '';

  #readAt = 0;

  constructor(
    private readonly platform: Platform,
    private readonly roster: Roster,
    private readonly ranking: Ranking,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Reads who is registered anywhere. */
  async read(): Promise<void> {
    const deadline = this.clock.now() + CALL_TIMEOUT_MS;
    const stored = await this.platform.list({ prefix: PREFIX }, deadline);
    for (const { value } of stored) this.roster.merge(Listing.parse(JSON.parse(value)).members);
    this.#readAt = this.clock.now();
  }

  /** Keeps the own data centre's object up to date while this process is its root. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const wait = WRITE_EVERY_MS + this.random.jitter(WRITE_EVERY_MS);
      await this.clock.sleepUntil(this.clock.now() + wait, signal);
      if (signal.aborted || !this.ranking.isRoot) continue;
      try {
        await this.#tend();
      } catch {
        // The platform is away; links and heartbeats carry membership meanwhile.
      }
    }
  }

  async #tend(): Promise<void> {
    if (this.clock.now() - this.#readAt >= READ_EVERY_MS) await this.read();
    const members = this.#listed();
    const value = JSON.stringify({ members });
    if (value === this.#written) return;
    const deadline = this.clock.now() + CALL_TIMEOUT_MS;
    const key = PREFIX + this.roster.self.dataCentre;
    const held = await this.platform.get(key, deadline);
    if (held) this.roster.merge(Listing.parse(JSON.parse(held.value)).members);
    if (await this.#write(key, held, deadline)) this.#written = value;
  }

  async #write(key: string, held: Stored | undefined, deadline: number): Promise<boolean> {
    const value = JSON.stringify({ members: this.#listed() });
    const written = held
      ? await this.platform.update(key, value, held.revision, deadline)
      : await this.platform.create(key, value, deadline);
    return written !== undefined;
  }

  #listed(): Member[] {
    const { dataCentre } = this.roster.self;
    const oldest = this.clock.now() - FORGET_MS;
    return this.roster
      .all()
      .filter((member) => member.dataCentre === dataCentre)
      .filter((member) => member.liveness !== 'left')
      .filter((member) => member.liveness !== 'dead' || member.incarnation > oldest)
      .sort((a, b) => (a.instance < b.instance ? -1 : 1));
  }
}

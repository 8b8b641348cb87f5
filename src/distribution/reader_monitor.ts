/** Heartbeats by which a data centre knows that its readers run. */
import { type Methods, notifyAll, type Peer } from '../link/peer.js';
import { type Pace, STEADY } from '../membership/pace.js';
import { type Ranking, READERS_PER_DATA_CENTRE } from '../membership/ranking.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { type Mesh } from './mesh.js';
import { READER_HEARTBEAT } from './methods.js';
import { type Reader } from './reader.js';
import { type ReaderRole } from './reader_role.js';

/** A wake-up later than this, in milliseconds, means that messages of that time are still unread. */
const LATE_WAKE_UP_MS = 100;

/**
 * A reader that is paused or cut off keeps its rank and its links for seconds, until its neighbours have
 * found the links silent and failed to dial it; meanwhile no version would enter its data centre. So
 * readers send heartbeats several times a second to the processes next by rank, which pass on over
 * existing links how long ago they heard of one. Each of these processes takes over after a time of its
 * own, the later the lower its rank, so that usually one does.
 *
 * A process that has never heard of a reader takes nothing over: its readers may be of a release without
 * these heartbeats.
 */
export class ReaderMonitor {
  /** When a reader was last known to run, in milliseconds since the epoch. */
  #heardAt: number | undefined;

  #isSilent = false;

  /** Called when this process finds that no reader is heard of, with the length of the silence in ms. */
  onSilenceBegun: (silentMs: number) => void = () => {};

  /** Called at the same time, and then once per heartbeat interval until a reader is heard of. */
  onSilent: () => void = () => {};

  constructor(
    private readonly reader: Pick<Reader, 'hasContact'>,
    private readonly role: Pick<ReaderRole, 'isRanked' | 'isDelegated'>,
    private readonly ranking: Ranking,
    private readonly roster: Roster,
    private readonly mesh: Mesh,
    private readonly clock: Clock,
    methods: Methods,
    private readonly pace: Pace = STEADY,
  ) {
    methods.on(READER_HEARTBEAT, (_, { silentMs }) => {
      this.#heardAt = Math.max(this.#heardAt ?? 0, clock.now() - silentMs);
    });
  }

  /** Time since a reader of the own data centre was last known to run, in ms; undefined if never. */
  get silentMs(): number | undefined {
    if (this.#isReading) return 0;
    return this.#heardAt === undefined ? undefined : Math.max(0, this.clock.now() - this.#heardAt);
  }

  /** Sends and checks heartbeats until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.sendHeartbeat();
      const nextAt = this.clock.now() + this.pace.readerHeartbeatMs;
      await this.#sleepUntil(Math.min(nextAt, this.#silentAt ?? nextAt), signal);
      this.#check();
      await this.#sleepUntil(nextAt, signal);
    }
  }

  /** Tells the processes after this one when a reader was last known to run. */
  sendHeartbeat(): void {
    const { silentMs } = this;
    const followers = this.#followers();
    if (silentMs !== undefined && followers.length > 0) {
      notifyAll(followers, READER_HEARTBEAT, { silentMs });
    }
  }

  /** A ranked reader without contact to the source has another process read, so it counts too. */
  get #isReading(): boolean {
    return this.role.isRanked || (this.role.isDelegated && this.reader.hasContact);
  }

  /** When this process is to take over; undefined if it is not among those that may. */
  get #silentAt(): number | undefined {
    const position = this.#position;
    if (position < READERS_PER_DATA_CENTRE || this.#heardAt === undefined) return undefined;
    const { readerSilenceMs, takeOverStaggerMs } = this.pace;
    const stagger = (position - READERS_PER_DATA_CENTRE) * takeOverStaggerMs;
    return this.#heardAt + readerSilenceMs + stagger;
  }

  get #position(): number {
    const { instance } = this.roster.self;
    return this.ranking.readerCandidates.findIndex((member) => member.instance === instance);
  }

  #followers(): Peer[] {
    const position = this.#position;
    if (position < 0) return [];
    const after = this.ranking.readerCandidates.slice(position + 1);
    return after.flatMap(({ instance }) => this.mesh.peer(instance) ?? []);
  }

  #check(): void {
    const silentAt = this.#silentAt;
    const wasSilent = this.#isSilent;
    this.#isSilent = silentAt !== undefined && this.clock.now() >= silentAt;
    if (!this.#isSilent) return;
    if (!wasSilent) this.onSilenceBegun(this.clock.now() - this.#heardAt!);
    this.onSilent();
  }

  /** After a pause of this process, what readers sent meanwhile is not read yet: it gets the time again. */
  async #sleepUntil(wakeAt: number, signal: AbortSignal): Promise<void> {
    const deadline = Math.max(wakeAt, this.clock.now());
    await this.clock.sleepUntil(deadline, signal);
    const lateMs = this.clock.now() - deadline;
    if (lateMs > LATE_WAKE_UP_MS && this.#heardAt !== undefined) this.#heardAt += lateMs;
  }
}

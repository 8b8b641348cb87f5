/** Whether the readers of the own data centre run, as far as this process has heard. */
import { type Member } from '../contracts.js';
import { type Methods, notifyAll, type Peer } from '../link/peer.js';
import { type Ranking, READERS_PER_DATA_CENTRE } from '../membership/ranking.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { type Mesh } from './mesh.js';
import { READER_HEARTBEAT } from './methods.js';
import { type Reader } from './reader.js';
import { type ReaderRole } from './reader_role.js';

/** Silence after which the first process takes over, in heartbeat intervals. */
const SILENT_HEARTBEATS = 1.4;
/** How much later each further process takes over, in heartbeat intervals. */
const STAGGER_HEARTBEATS = 0.2;
/** A wake-up later than this, in milliseconds, means that messages of that time are still unread. */
const LATE_WAKE_UP_MS = 100;
/** Interval of checks in a process that is not among those that may take over, in milliseconds. */
const IDLE_CHECK_MS = 1_000;

/** When heartbeats of this process were last sent on all links, in milliseconds since the epoch. */
export interface HeartbeatTimes {
  readonly heartbeatSentAt: number;
}

/**
 * A reader that is paused or cut off keeps its rank and its links for seconds, until its neighbours have
 * found the links silent and failed to dial it; meanwhile no version would enter its data centre. So the
 * processes next by rank listen for the readers, which send them a heartbeat of their own halfway between
 * two of those that all links carry. Each takes over after a time of its own, the later the lower its rank,
 * so that usually one does. While the first reader is silent, they pass on over the links between them how
 * long ago they heard of another reader.
 */
export class ReaderMonitor {
  /** When a reader was last known to run, in milliseconds since the epoch; 0 if never. */
  #runningAt = 0;

  /** Until when this process was last paused; what arrived meanwhile is read only now. */
  #pausedUntil = 0;

  #isSilent = false;

  /** Called when this process finds that no reader is heard of, with the length of the silence in ms. */
  onSilenceBegun: (silentMs: number) => void = () => {};

  /** Called at the same time, and then twice per heartbeat interval until a reader is heard of. */
  onSilent: () => void = () => {};

  constructor(
    private readonly reader: Pick<Reader, 'hasContact'>,
    private readonly role: Pick<ReaderRole, 'isRanked' | 'isDelegated'>,
    private readonly ranking: Ranking,
    private readonly roster: Roster,
    private readonly mesh: Mesh,
    private readonly clock: Clock,
    methods: Methods,
    private readonly heartbeatMs: number,
    private readonly times: HeartbeatTimes,
  ) {
    methods.on(READER_HEARTBEAT, (_, { silentMs }) => {
      this.#runningAt = Math.max(this.#runningAt, clock.now() - silentMs);
    });
  }

  /** Time since a reader of the own data centre was last known to run, in ms; undefined if never. */
  get silentMs(): number | undefined {
    if (this.#isReading) return 0;
    const heardAt = this.#heardAt;
    return heardAt > 0 ? Math.max(0, this.clock.now() - heardAt) : undefined;
  }

  /** Sends and checks heartbeats until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const wakeAt = Math.max(this.#nextAt(), this.clock.now() + 1);
      await this.clock.sleepUntil(wakeAt, signal);
      const now = this.clock.now();
      if (now - wakeAt > LATE_WAKE_UP_MS) this.#pausedUntil = now;
      this.#hearReaders();
      if (this.#isReading || this.#isFirstSilent) this.sendHeartbeat();
      this.#check();
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

  get #position(): number {
    const { instance } = this.roster.self;
    return this.ranking.readerCandidates.findIndex((member) => member.instance === instance);
  }

  /** From when on a reader has been silent; 0 if none was ever heard of. */
  get #heardAt(): number {
    return this.#runningAt > 0 ? Math.max(this.#runningAt, this.#pausedUntil) : 0;
  }

  /** Kept beyond the end of the links, which are closed when they have been silent for long. */
  #hearReaders(): void {
    const readers = this.ranking.readerCandidates.slice(0, READERS_PER_DATA_CENTRE);
    const messageTimes = readers.map((reader) => this.#lastMessageOf(reader));
    this.#runningAt = Math.max(this.#runningAt, ...messageTimes);
  }

  /** Whether the first reader, to which all that may take over have a link, is silent. */
  get #isFirstSilent(): boolean {
    return this.clock.now() >= this.#firstSilentAt;
  }

  get #firstSilentAt(): number {
    const [first] = this.ranking.readerCandidates;
    const heardAt = first ? this.#lastMessageOf(first) : 0;
    return Math.max(heardAt, this.#pausedUntil) + SILENT_HEARTBEATS * this.heartbeatMs;
  }

  #lastMessageOf({ instance }: Member): number {
    return this.mesh.peer(instance)?.lastMessageAt ?? 0;
  }

  #nextAt(): number {
    const now = this.clock.now();
    const halfMs = this.heartbeatMs / 2;
    if (this.role.isRanked) {
      const halfwayAt = this.times.heartbeatSentAt + halfMs;
      return halfwayAt > now ? halfwayAt : Math.max(halfwayAt + this.heartbeatMs, now + halfMs);
    }
    if (this.#position < 0) return now + IDLE_CHECK_MS;
    const isBusy = this.#isReading || this.#isFirstSilent || this.#isSilent;
    const due = isBusy ? now + halfMs : this.#firstSilentAt;
    const silentAt = this.#silentAt;
    return silentAt > now ? Math.min(due, silentAt) : due;
  }

  /** When this process takes over if it hears of no reader until then. */
  get #silentAt(): number {
    const heardAt = this.#heardAt;
    const before = this.#position - READERS_PER_DATA_CENTRE;
    if (before < 0 || heardAt === 0) return Infinity;
    return heardAt + (SILENT_HEARTBEATS + before * STAGGER_HEARTBEATS) * this.heartbeatMs;
  }

  #check(): void {
    const wasSilent = this.#isSilent;
    this.#isSilent = this.clock.now() >= this.#silentAt;
    if (!this.#isSilent) return;
    if (!wasSilent) this.onSilenceBegun(this.clock.now() - this.#heardAt);
    this.onSilent();
  }

  #followers(): Peer[] {
    const position = this.#position;
    if (position < 0) return [];
    const after = this.ranking.readerCandidates.slice(position + 1);
    return after.flatMap(({ instance }) => this.mesh.peer(instance) ?? []);
  }
}

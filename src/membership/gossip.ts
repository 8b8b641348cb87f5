/** Heartbeats on all links, by which silent links and differing rosters are detected. */
import { type Mesh } from '../distribution/mesh.js';
import { HEARTBEAT } from '../distribution/methods.js';
import { type Replica } from '../distribution/replica.js';
import { type Methods, notifyAll, type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { Dissemination } from './dissemination.js';
import { Reconciliation } from './reconciliation.js';
import { Retention } from './retention.js';
import { type Roster } from './roster.js';
import { Suspicions } from './suspicions.js';

/** A link is closed after this many heartbeat intervals without a message. */
const SILENT_HEARTBEATS = 4;

/** Wake-ups later than this are reported, in milliseconds. */
const LATE_WAKE_UP_MS = 200;

export class GossipTask {
  readonly dissemination: Dissemination;

  readonly suspicions: Suspicions;

  readonly reconciliation: Reconciliation;

  readonly #retention: Retention;

  /** When heartbeats were last sent, in milliseconds since the epoch. */
  heartbeatSentAt = 0;

  /** Called when this process wakes up much too late, with the delay in milliseconds. */
  onLateWakeUp: (lateMs: number) => void = () => {};

  constructor(
    private readonly roster: Roster,
    private readonly mesh: Mesh,
    private readonly replica: Replica,
    private readonly clock: Clock,
    random: Random,
    private readonly heartbeatMs: number,
    methods: Methods,
  ) {
    this.dissemination = new Dissemination(roster, mesh, clock, random, methods);
    this.suspicions = new Suspicions(roster, clock);
    this.reconciliation = new Reconciliation(roster, mesh, clock, random, methods);
    this.#retention = new Retention(roster, clock);
  }

  /** Sends heartbeats, closes silent links and expires suspicions until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.suspicions.run(signal), this.#watchLinks(signal)]);
  }

  async #watchLinks(signal: AbortSignal): Promise<void> {
    let wasPaused = false;
    while (!signal.aborted) {
      if (!wasPaused) this.#closeSilentLinks();
      this.#sendHeartbeat();
      this.#retention.sweep();
      const wakeAt = this.clock.now() + this.heartbeatMs;
      await this.clock.sleepUntil(wakeAt, signal);
      // After this process was paused, messages sent meanwhile are still unread, and all links look
      // silent. They are checked again one round later.
      const lateMs = Math.round(this.clock.now() - wakeAt);
      if (lateMs > LATE_WAKE_UP_MS) this.onLateWakeUp(lateMs);
      wasPaused = lateMs > this.heartbeatMs;
    }
  }

  /** Compares the roster hash of a neighbour; called with each heartbeat received. */
  compare(peer: Peer, hash: string): void {
    this.reconciliation.compare(peer, hash);
  }

  #closeSilentLinks(): void {
    const silentSince = this.clock.now() - SILENT_HEARTBEATS * this.heartbeatMs;
    for (const peer of this.mesh.peers) {
      if (peer.lastMessageAt < silentSince) peer.link.close();
    }
  }

  #sendHeartbeat(): void {
    const { number: version, digest } = this.replica.current;
    const roster = this.roster.hash;
    notifyAll(this.mesh.peers, HEARTBEAT, { version, digest, roster });
    this.heartbeatSentAt = this.clock.now();
  }
}

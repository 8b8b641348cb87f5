/** Heartbeats on all links, and what they tell: silence and differing rosters. */
import { type Mesh } from '../distribution/mesh.js';
import { HEARTBEAT } from '../distribution/methods.js';
import { type Replica } from '../distribution/replica.js';
import { type Methods, notifyAll, type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { News } from './news.js';
import { Reconciliation } from './reconciliation.js';
import { Retention } from './retention.js';
import { type Roster } from './roster.js';
import { Suspicions } from './suspicions.js';

/** A link on which nothing was heard for so many heartbeats is closed. */
const SILENT_HEARTBEATS = 4;

/** Waking up so much too late is told, in milliseconds. */
const LATE_MS = 200;

export class GossipTask {
  readonly news: News;

  readonly suspicions: Suspicions;

  readonly reconciliation: Reconciliation;

  readonly #retention: Retention;

  /** Called when this process has woken up much too late. */
  onLate: (lateMs: number) => void = () => {};

  constructor(
    private readonly roster: Roster,
    private readonly mesh: Mesh,
    private readonly replica: Replica,
    private readonly clock: Clock,
    random: Random,
    private readonly heartbeatMs: number,
    methods: Methods,
  ) {
    this.news = new News(roster, mesh, clock, random, methods);
    this.suspicions = new Suspicions(roster, clock);
    this.reconciliation = new Reconciliation(roster, mesh, clock, random, methods);
    this.#retention = new Retention(roster, clock);
  }

  /** Sends heartbeats and judges silence until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const judging = this.suspicions.run(signal);
    let wasPaused = false;
    while (!signal.aborted) {
      if (!wasPaused) this.#closeSilent();
      this.#beat();
      this.#retention.sweep();
      const wakeAt = this.clock.now() + this.heartbeatMs;
      await this.clock.sleepUntil(wakeAt, signal);
      // After a pause of its own a process has heard nobody, and what was sent meanwhile is still
      // unread: it would close all its links at once. One round later, silence is theirs.
      const lateMs = Math.round(this.clock.now() - wakeAt);
      if (lateMs > LATE_MS) this.onLate(lateMs);
      wasPaused = lateMs > this.heartbeatMs;
    }
    await judging;
  }

  /** Notes a neighbour's roster; called with each heartbeat that comes in. */
  compare(peer: Peer, hash: string): void {
    this.reconciliation.compare(peer, hash);
  }

  #closeSilent(): void {
    const silentSince = this.clock.now() - SILENT_HEARTBEATS * this.heartbeatMs;
    for (const peer of this.mesh.peers) {
      if (peer.lastHeard < silentSince) peer.link.close();
    }
  }

  #beat(): void {
    const { number: version, digest } = this.replica.current;
    const roster = this.roster.hash;
    notifyAll(this.mesh.peers, HEARTBEAT, { version, digest, roster });
  }
}

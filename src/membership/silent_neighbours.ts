/** Finds neighbours that are silent, long before they are suspected. */
import { type Mesh } from '../distribution/mesh.js';
import { type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { type Ranking } from './ranking.js';

/** A neighbour is silent after this many heartbeat intervals without a message. */
const SILENT_HEARTBEATS = 2.2;
/** A wake-up later than this, in heartbeat intervals, means that messages are still unread. */
const LATE_HEARTBEATS = 0.5;

/**
 * A paused process keeps its links for seconds. If the parent of a process and both neighbours before it
 * on the ring are paused, no version reaches it meanwhile, although others of its data centre have it.
 * Therefore silent members are passed over on the ring at once: the process before them dials those
 * after them. Nobody is suspected by it, so a neighbour that is merely late costs two links for a while.
 */
export class SilentNeighbours {
  constructor(
    private readonly mesh: Mesh,
    private readonly ranking: Ranking,
    private readonly clock: Clock,
    private readonly heartbeatMs: number,
  ) {}

  /** Checks the links until the signal aborts, each when it would be silent. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const wakeAt = this.#nextCheckAt();
      await this.clock.sleepUntil(wakeAt, signal);
      const lateMs = this.clock.now() - wakeAt;
      const wasPaused = lateMs > LATE_HEARTBEATS * this.heartbeatMs;
      if (!wasPaused && this.ranking.passOver(this.#silent())) this.mesh.dialMissing();
    }
  }

  #nextCheckAt(): number {
    const now = this.clock.now();
    const due = this.mesh.peers.map((peer) => this.#silentAt(peer)).filter((at) => at > now);
    return Math.min(now + this.heartbeatMs, ...due);
  }

  #silentAt({ lastMessageAt }: Peer): number {
    return lastMessageAt + SILENT_HEARTBEATS * this.heartbeatMs;
  }

  #silent(): ReadonlySet<string> {
    const now = this.clock.now();
    const silent = this.mesh.peers.filter((peer) => this.#silentAt(peer) <= now);
    return new Set(silent.flatMap(({ member }) => member?.instance ?? []));
  }
}

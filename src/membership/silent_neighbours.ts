/** Finds neighbours that are silent, long before they are suspected. */
import { type Mesh } from '../distribution/mesh.js';
import { type Clock } from '../runtime/clock.js';
import { type Ranking } from './ranking.js';

/** A neighbour is silent after this many heartbeat intervals without a message. */
const SILENT_HEARTBEATS = 2.2;
/** Checks per heartbeat interval. */
const CHECKS_PER_HEARTBEAT = 2;

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

  /** Checks all links until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const intervalMs = this.heartbeatMs / CHECKS_PER_HEARTBEAT;
    while (!signal.aborted) {
      const wakeAt = this.clock.now() + intervalMs;
      await this.clock.sleepUntil(wakeAt, signal);
      // After a pause of this process all links look silent until their messages have been read.
      const wasPaused = this.clock.now() - wakeAt > intervalMs;
      if (!wasPaused && this.ranking.passOver(this.#silent())) this.mesh.dialMissing();
    }
  }

  #silent(): ReadonlySet<string> {
    const silentSince = this.clock.now() - SILENT_HEARTBEATS * this.heartbeatMs;
    const silent = this.mesh.peers.filter(({ lastMessageAt }) => lastMessageAt < silentSince);
    return new Set(silent.flatMap(({ member }) => member?.instance ?? []));
  }
}

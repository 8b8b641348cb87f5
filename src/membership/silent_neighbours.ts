/** Finds neighbours that are silent, long before they are suspected. */
import { type Mesh } from '../distribution/mesh.js';
import { type Clock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { type Ranking } from './ranking.js';

/** A neighbour is silent after this many heartbeat intervals without a message. */
const SILENT_HEARTBEATS = 2.2;
/** A wake-up later than this, in heartbeat intervals, means that messages are still unread. */
const LATE_HEARTBEATS = 0.5;
/** Cap of the jitter before it acts on that, in milliseconds: all may have lost their links at once. */
const CUT_OFF_JITTER_MS = 200;

/**
 * A paused process keeps its links for seconds. If the parent of a process and both neighbours before it
 * on the ring are paused, no version reaches it meanwhile, although others of its data centre have it.
 * Therefore silent members are passed over on the ring at once: the process before them dials those
 * after them. Nobody is suspected by it, so a neighbour that is merely late costs two links for a while.
 *
 * If all links are silent, nobody can bring a version either: this process is cut off from the others. That
 * is known long before the links are closed and the others have been declared dead.
 */
export class SilentNeighbours {
  /** When a neighbour was last heard of, in milliseconds since the epoch; 0 if never. */
  #heardAt = 0;

  /** Called while this process hears nobody, each time that it checks its links. */
  onCutOff: () => void = () => {};

  constructor(
    private readonly mesh: Mesh,
    private readonly ranking: Ranking,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly heartbeatMs: number,
  ) {}

  /** Checks the links until the signal aborts, each when it would be silent. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const wakeAt = this.#nextCheckAt();
      await this.clock.sleepUntil(wakeAt, signal);
      const lateMs = this.clock.now() - wakeAt;
      const wasPaused = lateMs > LATE_HEARTBEATS * this.heartbeatMs;
      if (!wasPaused) this.#handleSilent(this.#silent());
    }
  }

  #handleSilent(silent: ReadonlySet<string>): void {
    if (this.ranking.passOver(silent)) this.mesh.dialMissing();
    if (this.#hearsNobody()) runInBackground('cut-off report', this.#reportCutOff());
  }

  async #reportCutOff(): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + this.random.jitter(CUT_OFF_JITTER_MS));
    if (this.#hearsNobody()) this.onCutOff();
  }

  /**
   * Whether there are neighbours and none of them is heard. A process that has just started has not heard
   * anybody yet, and one whose neighbours have left misses nobody.
   */
  #hearsNobody(): boolean {
    if (this.ranking.neighbours.length === 0) return false;
    this.#heardAt = Math.max(this.#heardAt, ...this.mesh.peers.map((peer) => peer.lastMessageAt));
    return this.#heardAt > 0 && this.clock.now() >= this.#silentAt(this.#heardAt);
  }

  #nextCheckAt(): number {
    const now = this.clock.now();
    const due = this.mesh.peers
      .map((peer) => this.#silentAt(peer.lastMessageAt))
      .filter((at) => at > now);
    return Math.min(now + this.heartbeatMs, ...due);
  }

  #silentAt(heardAt: number): number {
    return heardAt + SILENT_HEARTBEATS * this.heartbeatMs;
  }

  #silent(): ReadonlySet<string> {
    const now = this.clock.now();
    const silent = this.mesh.peers.filter((peer) => this.#silentAt(peer.lastMessageAt) <= now);
    return new Set(silent.flatMap(({ member }) => member?.instance ?? []));
  }
}

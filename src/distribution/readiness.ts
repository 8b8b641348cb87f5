/** Decides when a starting process may take requests. */
import { type Member } from '../contracts.js';
import { type Pace, STEADY } from '../membership/pace.js';
import { type Ranking } from '../membership/ranking.js';
import { type Clock } from '../runtime/clock.js';
import { callEach } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { type HeadLookup } from './head_lookup.js';
import { type Mesh } from './mesh.js';
import { RECALL } from './methods.js';
import { type Reader } from './reader.js';
import { type Replica } from './replica.js';

const RECALL_TIMEOUT_MS = 1_000;
const CONFIRM_TIMEOUT_MS = 3_000;

/**
 * A starting process holds nothing and takes over the version of its neighbours. If they missed a
 * version that its instance held before, requests would be routed by an older version than they
 * already were. Therefore the process takes no requests until it holds at least the highest version
 * that its instance can have held: the head of the log, or the version that its neighbours remember
 * for the instance. Once ready, it stays ready, because versions only increase.
 */
export class Readiness {
  #isReady = false;

  readonly #listeners = new Set<() => void>();

  constructor(
    /** This process's member entry at its start. */
    private readonly self: Member,
    private readonly replica: Replica,
    private readonly reader: Reader,
    private readonly headLookup: HeadLookup,
    private readonly mesh: Mesh,
    private readonly ranking: Ranking,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly pace: Pace = STEADY,
  ) {}

  get isReady(): boolean {
    return this.#isReady;
  }

  onReady(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Runs until the process is ready or the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let minVersion: number | undefined;
    while (!signal.aborted) {
      minVersion ??= await this.#findMinVersion();
      if (minVersion !== undefined && this.replica.current.number >= minVersion) break;
      const wait = this.random.jitter(this.pace.readinessCheckMs);
      await this.clock.sleepUntil(this.clock.now() + wait, signal);
    }
    if (signal.aborted) return;
    this.#isReady = true;
    callEach('ready', this.#listeners);
  }

  /** Finds a version that this instance cannot have been beyond; undefined while unknown. */
  async #findMinVersion(): Promise<number | undefined> {
    if (this.reader.caughtUp) return 0;
    if (this.pace.isEager) return this.#isConfirmedByNeighbour ? 0 : undefined;
    const remembered = await this.#recall();
    if (remembered !== undefined) return remembered;
    try {
      return await this.headLookup.lookUp(this.clock.now() + CONFIRM_TIMEOUT_MS);
    } catch {
      return undefined;
    }
  }

  /**
   * Whether a ready neighbour holds no later version than this process. Without this check, a
   * process that starts while the source is unavailable would take no requests until the source is
   * back.
   */
  get #isConfirmedByNeighbour(): boolean {
    const held = this.replica.current.number;
    return held > 0 && this.mesh.peers.some((peer) => peer.isReady && peer.version <= held);
  }

  /**
   * Asks all neighbours which version they remember for this instance. A neighbour that does not
   * answer may know the highest one, so the result is undefined until it answers or its link is
   * closed.
   */
  async #recall(): Promise<number | undefined> {
    if (this.ranking.isReader) return undefined;
    const { instance, incarnation } = this.self;
    const deadline = this.clock.now() + RECALL_TIMEOUT_MS;
    try {
      const answers = await Promise.all(
        this.mesh.peers.map((peer) => peer.request(RECALL, { instance, incarnation }, deadline)),
      );
      const remembered = answers.map((answer) => answer.remembered ?? -1);
      if (Math.max(-1, ...remembered) < 0) return undefined;
      return Math.max(...remembered, ...answers.map((answer) => answer.holds));
    } catch {
      return undefined;
    }
  }
}

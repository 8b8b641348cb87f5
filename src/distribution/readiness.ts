/** When a process that has started may take requests. */
import { type Member } from '../contracts.js';
import { type Pace, STEADY } from '../membership/pace.js';
import { type Ranking } from '../membership/ranking.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Confirmation } from './confirmation.js';
import { type Mesh } from './mesh.js';
import { RECALL } from './methods.js';
import { type Reader } from './reader.js';
import { type Replica } from './replica.js';

const RECALL_TIMEOUT_MS = 1_000;
const CONFIRM_TIMEOUT_MS = 3_000;

/**
 * A process that starts holds nothing and takes over what its neighbours hold. Had they missed
 * what its instance held before, requests would go by an older version than they did. So it takes
 * none until it holds at least what its instance can have held: the end of the log, or what the
 * neighbours remember of it. Once ready it stays so, because versions only rise.
 */
export class Readiness {
  #isReady = false;

  readonly #listeners = new Set<() => void>();

  constructor(
    /** This process as it started. */
    private readonly self: Member,
    private readonly replica: Replica,
    private readonly reader: Reader,
    private readonly confirmation: Confirmation,
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
    let floor: number | undefined;
    while (!signal.aborted) {
      floor ??= await this.#floor();
      if (floor !== undefined && this.replica.current.number >= floor) break;
      const wait = this.random.jitter(this.pace.readinessMs);
      await this.clock.sleepUntil(this.clock.now() + wait, signal);
    }
    if (signal.aborted) return;
    this.#isReady = true;
    for (const listener of this.#listeners) listener();
  }

  /** The version that this instance cannot have been beyond; undefined as long as unknown. */
  async #floor(): Promise<number | undefined> {
    if (this.reader.caughtUp) return 0;
    if (this.pace.isEager) return this.#isVouchedFor ? 0 : undefined;
    const remembered = await this.#recall();
    if (remembered !== undefined) return remembered;
    try {
      return await this.confirmation.confirm(this.clock.now() + CONFIRM_TIMEOUT_MS);
    } catch {
      return undefined;
    }
  }

  /**
   * Whether a neighbour that takes requests holds no more than this process. With the source away
   * a process that starts would otherwise take none until it is back.
   */
  get #isVouchedFor(): boolean {
    const held = this.replica.current.number;
    return held > 0 && this.mesh.peers.some((peer) => peer.isReady && peer.version <= held);
  }

  /**
   * What all neighbours remember together. One that does not answer may be the one that knows
   * most, so its silence leaves the question open until it answers or its link is closed.
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

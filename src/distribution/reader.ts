/** Follows the log in the platform, in those processes that rank as readers. */
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Ranking } from '../membership/ranking.js';
import { type Log, PAGE } from '../source/log.js';
import { type Snapshots } from '../source/snapshots.js';
import { type Replica } from './replica.js';

/** How long one watch waits; a watch on a connection gone silent costs this long at most. */
const WATCH_MS = 10_000;
/** Cap of the jittered wait after a failed call, in milliseconds. */
const RETRY_CAP_MS = 1_000;
/** How often a process looks whether it has become a reader. */
const RANK_CHECK_MS = 250;

/**
 * Two processes may both believe that they are the reader: that costs one more watch and nothing
 * else, because versions are immutable and only go forward. So no lease is taken for it.
 */
export class Reader {
  /** Whether the whole log, as the platform has it, was read at least once. */
  caughtUp = false;

  constructor(
    private readonly log: Log,
    private readonly snapshots: Snapshots,
    private readonly replica: Replica,
    private readonly ranking: Ranking,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  #hasLeapt = false;

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.ranking.isReader) {
        await this.clock.sleepUntil(this.clock.now() + RANK_CHECK_MS, signal);
        continue;
      }
      try {
        await this.#follow(signal);
      } catch {
        const wait = this.random.jitter(RETRY_CAP_MS);
        await this.clock.sleepUntil(this.clock.now() + wait, signal);
      }
    }
  }

  async #follow(signal: AbortSignal): Promise<void> {
    const deadline = this.clock.now() + WATCH_MS;
    if (!this.#hasLeapt) await this.#leap(deadline);
    const after = this.replica.current.number;
    const records = this.caughtUp
      ? await this.log.watch(after, deadline, signal)
      : await this.log.read(after, deadline);
    if (records.length === 0) this.caughtUp = true;
    this.replica.apply(records.map((record) => record.version));
  }

  /**
   * Starts from the latest snapshot where that saves more than one page of the log. One that the
   * replica refuses costs nothing but the replay that it should have saved.
   */
  async #leap(deadline: number): Promise<void> {
    const snapshot = await this.snapshots.load(this.replica.current.number + PAGE, deadline);
    this.#hasLeapt = true;
    if (snapshot) this.replica.install(snapshot);
  }
}

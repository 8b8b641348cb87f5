/** Follows the log in the platform, in those processes that rank as readers. */
import { OutcomeError } from '../contracts.js';
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
/** Cap of the wait after the platform served a version that was refused, in milliseconds. */
const REFUSED_CAP_MS = 30_000;
/** How often a process looks whether it has become a reader. */
const RANK_CHECK_MS = 500;

/**
 * Two processes may both believe that they are the reader: that costs one more watch and nothing
 * else, because versions are immutable and only go forward. So no lease is taken for it.
 */
export class Reader {
  /** Whether the log was read at least once to its end, or to a version that was refused. */
  caughtUp = false;

  /** Refusals since the last step forward. */
  #refusals = 0;

  /** Whether it was looked for a snapshot to start from. */
  #hasLeapt = false;

  constructor(
    private readonly log: Log,
    private readonly snapshots: Snapshots,
    private readonly replica: Replica,
    private readonly ranking: Ranking,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.ranking.isReader) {
        await this.clock.sleepUntil(this.clock.now() + RANK_CHECK_MS, signal);
        continue;
      }
      try {
        await this.#follow(signal);
      } catch (error) {
        await this.#recover(error, signal);
      }
    }
  }

  /**
   * Reads the log to its end, begun after this call; resolves to the version then in force. What
   * follows it, if anything does, was refused here and so by every process.
   */
  async confirm(deadline: number): Promise<number> {
    if (!this.#hasLeapt) await this.#leap(deadline);
    for (;;) {
      const records = await this.log.read(this.replica.current.number, deadline);
      const isWhole = this.replica.apply(records.map((record) => record.version));
      if (records.length === 0 || !isWhole) return this.replica.current.number;
    }
  }

  async #follow(signal: AbortSignal): Promise<void> {
    const deadline = this.clock.now() + WATCH_MS;
    if (!this.#hasLeapt) await this.#leap(deadline);
    const after = this.replica.current.number;
    const records = this.caughtUp
      ? await this.log.watch(after, deadline, signal)
      : await this.log.read(after, deadline);
    const isWhole = this.replica.apply(records.map((record) => record.version));
    if (records.length === 0 || !isWhole) this.caughtUp = true;
    if (isWhole) this.#refusals = 0;
    else await this.#holdOff(signal);
  }

  async #recover(error: unknown, signal: AbortSignal): Promise<void> {
    if (error instanceof OutcomeError) {
      const wait = this.random.jitter(RETRY_CAP_MS);
      await this.clock.sleepUntil(this.clock.now() + wait, signal);
      return;
    }
    this.replica.reject(this.replica.current.number + 1, 'unreadable');
    await this.#holdOff(signal);
  }

  /**
   * A refused version is still there the next time: without a wait, which grows, the reader would
   * do nothing but read and refuse it, and spend the platform's calls on that.
   */
  async #holdOff(signal: AbortSignal): Promise<void> {
    this.#refusals += 1;
    const cap = Math.min(REFUSED_CAP_MS, RETRY_CAP_MS * 2 ** this.#refusals);
    const wait = RETRY_CAP_MS + this.random.jitter(cap);
    await this.clock.sleepUntil(this.clock.now() + wait, signal);
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

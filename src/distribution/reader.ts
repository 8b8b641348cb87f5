/** Follows the source of versions, in those processes that rank as readers. */
import { OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Pace, STEADY } from '../membership/pace.js';
import { type Ranking } from '../membership/ranking.js';
import { type Feed } from './feed.js';
import { type Replica } from './replica.js';

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
  /** Whether the source was read at least once to its end, or to a version that was refused. */
  caughtUp = false;

  /** Refusals since the last step forward. */
  #refusals = 0;

  constructor(
    private readonly feed: Feed,
    private readonly replica: Replica,
    private readonly ranking: Ranking,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly pace: Pace = STEADY,
  ) {}

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isStarting = this.pace.isEager && !this.caughtUp;
      if (!isStarting && !this.ranking.isReader) {
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
   * Reads the source to its end, begun after this call; resolves to the version then in force.
   * What follows it, if anything does, was refused here and so by every process.
   */
  async confirm(deadline: number): Promise<number> {
    await this.feed.catchUp(deadline);
    return this.replica.current.number;
  }

  async #follow(signal: AbortSignal): Promise<void> {
    const deadline = this.clock.now() + this.pace.watchMs;
    const isWhole = this.caughtUp
      ? await this.feed.follow(deadline, signal)
      : await this.feed.catchUp(deadline);
    this.caughtUp = true;
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
}

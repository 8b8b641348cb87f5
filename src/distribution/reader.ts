/** Follows the source of versions, in processes that rank as readers. */
import { OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Pace, STEADY } from '../membership/pace.js';
import { type Ranking } from '../membership/ranking.js';
import { type Feed, UnreadableError } from './feed.js';
import { type Replica } from './replica.js';

/** Cap of the jittered wait after a failed call, in milliseconds. */
const RETRY_CAP_MS = 1_000;
/**
 * Cap of the jittered backoff after the platform served a version that was refused, in
 * milliseconds.
 */
const REFUSED_BACKOFF_CAP_MS = 30_000;
/** How often a process checks whether it has become a reader, in milliseconds. */
const RANK_CHECK_MS = 500;

/**
 * Reads versions without a lease: two processes may both believe that they are the reader, which
 * only costs one more watch, because versions are immutable and a replica only moves forward.
 */
export class Reader {
  /**
   * Whether the source was read at least once up to its head, or up to a version that was refused
   * while an earlier one is in force.
   */
  caughtUp = false;

  /** Whether the source was read up to its head, so that only later versions are waited for. */
  #isFollowing = false;

  /** Refusals since versions were last applied in full. */
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
        await this.#handleError(error, signal);
      }
    }
  }

  /**
   * Reads the source up to its head, starting after this call; resolves to the version then
   * current. If later versions exist, they were refused here, and so are refused by every process.
   */
  async readHead(deadline: number): Promise<number> {
    await this.feed.catchUp(deadline);
    return this.replica.current.number;
  }

  async #follow(signal: AbortSignal): Promise<void> {
    const deadline = this.clock.now() + this.pace.watchTimeoutMs;
    const isApplied = this.#isFollowing
      ? await this.feed.follow(deadline, signal)
      : await this.feed.catchUp(deadline);
    this.#isFollowing = true;
    this.caughtUp ||= isApplied || this.replica.current.number > 0;
    if (isApplied) this.#refusals = 0;
    else if (this.feed.repeatsRefused) await this.#backOff(signal);
  }

  async #handleError(error: unknown, signal: AbortSignal): Promise<void> {
    if (error instanceof OutcomeError) {
      const wait = this.random.jitter(RETRY_CAP_MS);
      await this.clock.sleepUntil(this.clock.now() + wait, signal);
      return;
    }
    const isUnreadable = error instanceof UnreadableError;
    const problems = isUnreadable ? error.problems : [];
    this.#isFollowing ||= isUnreadable;
    this.replica.recordRefusal(this.replica.current.number + 1, 'unreadable', problems);
    if (!isUnreadable || this.feed.repeatsRefused) await this.#backOff(signal);
  }

  /**
   * A refused version is still there on the next read. Without an increasing wait, the reader
   * would do nothing but read and refuse it, and use up calls to the platform.
   */
  async #backOff(signal: AbortSignal): Promise<void> {
    this.#refusals += 1;
    const cap = Math.min(REFUSED_BACKOFF_CAP_MS, RETRY_CAP_MS * 2 ** this.#refusals);
    const wait = RETRY_CAP_MS + this.random.jitter(cap);
    await this.clock.sleepUntil(this.clock.now() + wait, signal);
  }
}

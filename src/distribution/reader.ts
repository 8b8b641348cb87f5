/** Follows the source of versions, in processes that are readers. */
import { OutcomeError, type Problem } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { type Pace, STEADY } from '../membership/pace.js';
import { type Feed, SOURCE_ANSWERED, UnreadableError } from './feed.js';
import { type ReaderRole } from './reader_role.js';
import { type Replica } from './replica.js';

/** Cap of the jittered wait after a failed call, in milliseconds. */
const RETRY_CAP_MS = 1_000;
/** The same while the source has not been reached since the last call, in milliseconds. */
const LOST_RETRY_CAP_MS = 2_000;
/** Time after which an answer that is due counts as missing, in milliseconds. */
const SILENCE_MS = 400;
/** A wake-up later than this, in milliseconds, means that this process is late, not the answer. */
const LATE_WAKE_UP_MS = 100;
/** Timeout of the watches of a delegate, in milliseconds; short, as the source may go silent for it too. */
const DELEGATED_WATCH_MS = 1_000;
/**
 * Timeout of the first watch of a process, in milliseconds. It starts before the process knows the other
 * readers: if all have just started, their deadlines are the same, and none of them would notice soon that
 * the source has gone silent.
 */
const FIRST_WATCH_MS = 1_000;
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

  #hasContact = true;

  /** Whether contact was lost by a read beside the watch, so that the next one may regain it. */
  #isLostByRead = false;

  #hasWatched = false;

  /** When the source last answered, in milliseconds since the epoch. */
  #answeredAt = 0;

  #regained = new AbortController();

  /** Called when the process does not reach the source any more. */
  onContactLost: () => void = () => {};

  constructor(
    private readonly feed: Feed,
    private readonly replica: Replica,
    private readonly role: ReaderRole,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly pace: Pace = STEADY,
  ) {}

  /** Whether the last call to the source was answered, and no answer is overdue. */
  get hasContact(): boolean {
    return this.#hasContact;
  }

  /** Aborts when the process reaches the source again after it has lost contact. */
  get contactRegained(): AbortSignal {
    return this.#regained.signal;
  }

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isStarting = this.pace.isEager && !this.caughtUp;
      if (!isStarting && !this.role.isReader) {
        // By the time it is a reader again, the source may have dropped the changes since then.
        this.#isFollowing = false;
        this.#setContact(true);
        await this.role.waitUntilDelegated(this.clock.now() + RANK_CHECK_MS, signal);
        continue;
      }
      try {
        await this.#follow(signal);
      } catch (error) {
        await this.#handleError(error, signal);
      }
    }
    // Ends the delegation of a process that stops.
    this.#setContact(true);
  }

  /**
   * Reads in place of readers that do not, for `forMs` milliseconds. Resolves to whether this process
   * reaches the source by `deadline`.
   */
  async readFor(forMs: number, deadline: number): Promise<boolean> {
    if (!this.#isFollowing || !this.#isFresh) {
      try {
        await this.#takeUp(deadline);
        if (this.#isLostByRead) this.#setContact(true);
      } catch (error) {
        this.#handleFailedRead(error, deadline);
        return false;
      }
    }
    if (this.#hasContact) this.role.delegateUntil(this.clock.now() + forMs);
    return this.#hasContact;
  }

  /**
   * Reads the source up to its head, starting after this call; resolves to the version then
   * current. If later versions exist, they were refused here, and so are refused by every process.
   */
  async readHead(deadline: number): Promise<number> {
    await this.feed.catchUp(deadline);
    return this.replica.current.number;
  }

  /**
   * Whether the source has answered lately. A watch that waits longer may wait on a connection that is lost,
   * so it is no proof of contact for a process that gets no versions from its peers.
   */
  get #isFresh(): boolean {
    return this.clock.now() - this.#answeredAt <= DELEGATED_WATCH_MS;
  }

  /** Reads up to the head, to follow the source from there. */
  async #takeUp(deadline: number): Promise<boolean> {
    try {
      const isApplied = await this.feed.catchUp(deadline);
      this.#answeredAt = this.clock.now();
      this.caughtUp ||= isApplied || this.replica.current.number > 0;
      this.#isFollowing = true;
      return isApplied;
    } catch (error) {
      if (!(error instanceof UnreadableError)) throw error;
      this.#isFollowing = true;
      this.#recordUnreadable(error.problems);
      return false;
    }
  }

  /**
   * A ranked reader that fails to read has lost contact, long before its watch ends. If only this call
   * was lost, a peer reads too until the next read or watch is answered. A timeout is no sign of it: a
   * large object may take that long, and peers that read it as well would add to that.
   */
  #handleFailedRead(error: unknown, deadline: number): void {
    if (!this.role.isRanked || !this.#hasContact || this.clock.now() >= deadline) return;
    if (!(error instanceof OutcomeError) || SOURCE_ANSWERED.has(error.reason)) return;
    this.#setContact(false);
    this.#isLostByRead = true;
  }

  async #follow(signal: AbortSignal): Promise<void> {
    const isApplied = await this.#readNext(signal);
    this.#answeredAt = this.clock.now();
    this.#setContact(true);
    if (isApplied) this.#refusals = 0;
    else if (this.feed.repeatsRefused) await this.#backOff(signal);
  }

  async #readNext(signal: AbortSignal): Promise<boolean> {
    const now = this.clock.now();
    const deadline = this.#watchDeadline(now);
    const answered = new AbortController();
    const answerDue = this.#isFollowing ? deadline : now;
    runInBackground(
      'answer of the source',
      this.#awaitAnswer(answerDue + SILENCE_MS, answered.signal),
    );
    try {
      if (!this.#isFollowing) return await this.#takeUp(deadline);
      this.#hasWatched = true;
      return await this.feed.follow(deadline, signal);
    } finally {
      answered.abort();
    }
  }

  #watchDeadline(now: number): number {
    const { watchTimeoutMs } = this.pace;
    const isFirstWatch = this.#isFollowing && !this.#hasWatched;
    if (isFirstWatch) return now + Math.min(watchTimeoutMs, FIRST_WATCH_MS);
    if (this.role.isRanked) return this.role.nextWatchDeadline(watchTimeoutMs);
    return now + (this.role.isDelegated ? DELEGATED_WATCH_MS : watchTimeoutMs);
  }

  /**
   * Notices a source that does not answer long before the call is given up. After a pause of this
   * process the answer may be there and not read yet, so it gets the time again.
   */
  async #awaitAnswer(dueAt: number, answered: AbortSignal): Promise<void> {
    let deadline = dueAt;
    await this.clock.sleepUntil(deadline, answered);
    while (!answered.aborted && this.clock.now() - deadline > LATE_WAKE_UP_MS) {
      deadline = this.clock.now() + SILENCE_MS;
      await this.clock.sleepUntil(deadline, answered);
    }
    if (!answered.aborted) this.#setContact(false);
  }

  #setContact(hasContact: boolean): void {
    this.#isLostByRead = false;
    if (hasContact === this.#hasContact) return;
    this.#hasContact = hasContact;
    if (hasContact) {
      this.#regained.abort();
    } else {
      this.#regained = new AbortController();
      this.onContactLost();
    }
  }

  async #handleError(error: unknown, signal: AbortSignal): Promise<void> {
    if (error instanceof OutcomeError) {
      const wasLost = !this.#hasContact;
      this.#setContact(SOURCE_ANSWERED.has(error.reason));
      const wait = this.random.jitter(wasLost ? LOST_RETRY_CAP_MS : RETRY_CAP_MS);
      await this.clock.sleepUntil(this.clock.now() + wait, signal);
      return;
    }
    const isUnreadable = error instanceof UnreadableError;
    this.#recordUnreadable(isUnreadable ? error.problems : []);
    if (!isUnreadable || this.feed.repeatsRefused) await this.#backOff(signal);
  }

  #recordUnreadable(problems: readonly Problem[]): void {
    this.replica.recordRefusal(this.replica.current.number + 1, 'unreadable', problems);
  }

  /**
   * A refused version is still there on the next read. Without an increasing wait, the reader
   * would do nothing but read and refuse it, and use up calls to the platform.
   */
  async #backOff(signal: AbortSignal): Promise<void> {
    this.#refusals += 1;
    const backoff = this.random.backoff(this.#refusals, RETRY_CAP_MS, REFUSED_BACKOFF_CAP_MS);
    const wait = RETRY_CAP_MS + backoff;
    await this.clock.sleepUntil(this.clock.now() + wait, signal);
  }
}

/** Limits how many claims one process requests from the platform concurrently. */
import PQueue from 'p-queue';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { unavailableError } from './claim_store.js';

/** Initial limit; small, because all processes resume at once after an outage. */
const INITIAL_SIZE = 2;
const MAX_SIZE = 64;
/** Most claims that may be queued, so that a burst of bookings at one process is not refused. */
const MAX_WAITING = 64;
/** Longest time in the queue, in milliseconds: a caller is better told early to retry. */
const MAX_WAIT_MS = 200;
/** A claim that takes longer, in milliseconds, indicates that writes queue up at the platform. */
const TARGET_LATENCY_MS = 100;
const SHRINK_FACTOR = 0.7;
/** Slow answers alone do not shrink the window below this: slow need not mean overloaded. */
const MIN_SIZE_WHEN_SLOW = 4;
/**
 * Upper bound of the jittered pause after a call got no answer, in milliseconds; doubles from the
 * minimum to the maximum. No answer means that the platform's queue exceeds a claim's timeout.
 */
const MIN_PAUSE_MS = 1_000;
const MAX_PAUSE_MS = 5_000;

/**
 * The whole fleet shares the platform's write capacity. Without a limit, claims beyond that
 * capacity would queue until their deadlines, and nearly every write would be for a caller that has
 * given up. The window grows by one per round trip while answers are fast and shrinks by a factor
 * when they are slow. When a call gets no answer the window shrinks to one, and claims are refused
 * at once during a pause.
 */
export class StoreWindow {
  readonly #queue = new PQueue({ concurrency: INITIAL_SIZE });

  #size = INITIAL_SIZE;

  #pauseMs = MIN_PAUSE_MS;

  #pausedUntil = 0;

  #shrunkAt = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Runs `call` when the window has room; throws `not-run` if it has none within the wait. */
  async run<T>(deadline: number, call: () => Promise<T>): Promise<T> {
    if (this.#queue.size >= MAX_WAITING) throw unavailableError(false);
    const startBy = Math.min(deadline, this.clock.now() + MAX_WAIT_MS);
    return this.#queue.add(() => this.#call(startBy, call));
  }

  async #call<T>(startBy: number, call: () => Promise<T>): Promise<T> {
    const startedAt = this.clock.now();
    if (startedAt >= startBy || startedAt < this.#pausedUntil) throw unavailableError(false);
    let isAnswered = false;
    try {
      const answer = await call();
      isAnswered = true;
      return answer;
    } finally {
      this.#adjust(startedAt, isAnswered);
      this.#queue.concurrency = Math.floor(this.#size);
    }
  }

  #adjust(startedAt: number, isAnswered: boolean): void {
    const now = this.clock.now();
    if (isAnswered && now - startedAt <= TARGET_LATENCY_MS) {
      this.#size = Math.min(MAX_SIZE, this.#size + 1 / this.#size);
      this.#pauseMs = MIN_PAUSE_MS;
      return;
    }
    // Calls started before the window shrank were slow for the same reason: it shrinks only once.
    if (startedAt < this.#shrunkAt) return;
    this.#shrunkAt = now;
    if (isAnswered) {
      this.#size = Math.max(Math.min(MIN_SIZE_WHEN_SLOW, this.#size), this.#size * SHRINK_FACTOR);
      return;
    }
    this.#size = 1;
    this.#pausedUntil = now + this.random.jitter(this.#pauseMs);
    this.#pauseMs = Math.min(MAX_PAUSE_MS, this.#pauseMs * 2);
  }
}

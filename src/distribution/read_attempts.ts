/** Reads of the source by a process that does not rank as a reader. */
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type ReadDelegation } from './read_delegation.js';

/** How long this process goes on reading after each attempt, in milliseconds. */
const READ_MS = 1_500;
/** Timeout of the first read, in milliseconds; a large object on a narrow link takes most of it. */
const READ_TIMEOUT_MS = 1_500;
/** First cap of the jittered wait after an attempt that failed, in milliseconds. */
const INITIAL_RETRY_CAP_MS = 1_000;

/** One attempt at a time, and longer waits with each that failed. */
export class ReadAttempts {
  #isReading = false;

  #failures = 0;

  #retryAt = 0;

  constructor(
    private readonly delegation: ReadDelegation,
    private readonly clock: Clock,
    private readonly random: Random,
    /** Highest cap of the jittered wait, in milliseconds. */
    private readonly maxRetryCapMs: number,
  ) {}

  /** Whether no attempt is running, and the wait after the last failure is over. */
  get isDue(): boolean {
    return !this.#isReading && this.clock.now() >= this.#retryAt;
  }

  /** Begins to read; resolves to whether the source is reached. The caller says whether that failed. */
  async read(): Promise<boolean> {
    this.#isReading = true;
    const deadline = this.clock.now() + READ_TIMEOUT_MS;
    const reachesSource = await this.delegation.readInPlace(READ_MS, deadline);
    this.#isReading = false;
    return reachesSource;
  }

  recordFailure(): void {
    const wait = this.random.backoff(this.#failures, INITIAL_RETRY_CAP_MS, this.maxRetryCapMs);
    this.#failures += 1;
    this.#retryAt = this.clock.now() + wait;
  }

  /** Forgets the failures so far. */
  reset(): void {
    this.#failures = 0;
    this.#retryAt = 0;
  }
}

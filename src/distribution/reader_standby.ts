/** Takes over reading when the readers of the data centre are silent. */
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type ReadDelegation } from './read_delegation.js';
import { type ReaderMonitor } from './reader_monitor.js';

/** How long this process reads after it has last found the readers silent, in milliseconds. */
const TAKE_OVER_MS = 1_500;
/** Timeout of its first read, in milliseconds; a large object on a narrow link takes most of it. */
const READ_TIMEOUT_MS = 1_500;
/** First and highest cap of the jittered wait after a read that failed, in milliseconds. */
const INITIAL_RETRY_CAP_MS = 1_000;
const MAX_RETRY_CAP_MS = 4_000;

/**
 * Readers that are paused or cut off from their data centre cannot ask anybody to read in their place.
 * Therefore a process that hears of no reader reads by itself, until it does again. It needs nothing but
 * the source for that, so it also works when those before it are paused one after another. A reader that
 * was merely late costs one call and a few watches.
 */
export class ReaderStandby {
  #isReading = false;

  #failures = 0;

  #retryAt = 0;

  constructor(
    private readonly monitor: ReaderMonitor,
    private readonly delegation: ReadDelegation,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    monitor.onSilent = () => void this.#takeOver();
  }

  /** Sends, checks and acts on heartbeats of readers until the signal aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.monitor.run(signal);
  }

  async #takeOver(): Promise<void> {
    const now = this.clock.now();
    if (this.#isReading || now < this.#retryAt) return;
    this.#isReading = true;
    const reachesSource = await this.delegation.readInPlace(TAKE_OVER_MS, now + READ_TIMEOUT_MS);
    this.#isReading = false;
    if (reachesSource) this.#succeed();
    else this.#backOff();
  }

  /** The processes after this one need not take over. */
  #succeed(): void {
    this.#failures = 0;
    this.monitor.sendHeartbeat();
  }

  #backOff(): void {
    const wait = this.random.backoff(this.#failures, INITIAL_RETRY_CAP_MS, MAX_RETRY_CAP_MS);
    this.#failures += 1;
    this.#retryAt = this.clock.now() + wait;
  }
}

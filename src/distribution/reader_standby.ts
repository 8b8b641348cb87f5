/** Takes over reading when the readers of the data centre are silent. */
import { type Clock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { ReadAttempts } from './read_attempts.js';
import { type ReadDelegation } from './read_delegation.js';
import { type ReaderMonitor } from './reader_monitor.js';

/** Highest cap of the jittered wait after a read that failed, in milliseconds. */
const MAX_RETRY_CAP_MS = 4_000;

/**
 * Readers that are paused or cut off from their data centre cannot ask anybody to read in their place.
 * Therefore a process that hears of no reader reads by itself, until it does again. It needs nothing but
 * the source for that, so it also works when those before it are paused one after another. A reader that
 * was merely late costs one call and a few watches.
 */
export class ReaderStandby {
  readonly #attempts: ReadAttempts;

  constructor(
    private readonly monitor: ReaderMonitor,
    delegation: ReadDelegation,
    clock: Clock,
    random: Random,
  ) {
    this.#attempts = new ReadAttempts(delegation, clock, random, MAX_RETRY_CAP_MS);
    monitor.onSilent = () => runInBackground('take over reading', this.#takeOver());
  }

  /** Sends, checks and acts on heartbeats of readers until the signal aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.monitor.run(signal);
  }

  async #takeOver(): Promise<void> {
    if (!this.#attempts.isDue) return;
    if (await this.#attempts.read()) this.#succeed();
    else this.#attempts.recordFailure();
  }

  /** The processes after this one need not take over. */
  #succeed(): void {
    this.#attempts.reset();
    this.monitor.sendHeartbeat();
  }
}

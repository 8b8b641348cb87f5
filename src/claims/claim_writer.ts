/** Writes outcomes and releases of claims to the platform, with retries until they are stored. */
import PQueue from 'p-queue';
import { type Claim } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { type ClaimStore } from './claim_store.js';

/** Timeout of one attempt, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 2_000;
/** Upper bound of the jittered wait between attempts, in milliseconds: doubles, min to max. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 10_000;
/**
 * A create that timed out may still arrive after its claim was found absent; repeats would then be
 * refused for an hour. A second release after this delay, in milliseconds, removes it.
 */
const SECOND_RELEASE_DELAY_MS = 5_000;

export class ClaimWriter implements AsyncDisposable {
  readonly #writes = new Map<string, Promise<void>>();

  readonly #stopping = new AbortController();

  /**
   * After an outage every process may have thousands of claims to write, and all of them at once
   * would keep the platform down. So retries are sent one at a time and at a limited rate.
   */
  readonly #retries = new PQueue({ concurrency: 1, interval: 1_000, intervalCap: 5 });

  constructor(
    private readonly store: ClaimStore,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Records the outcome, or removes the claim if there is none; gives up when it expires. */
  write(id: string, claim: Claim, settled: Claim | undefined): Promise<void> {
    const write = this.#writeWithRetries(id, claim, settled).finally(() => {
      if (this.#writes.get(id) === write) this.#writes.delete(id);
    });
    this.#writes.set(id, write);
    return write;
  }

  /** Resolves when no write is outstanding for the claim, or at the deadline. */
  async waitUntilWritten(id: string, deadline: number): Promise<void> {
    const write = this.#writes.get(id);
    if (!write) return;
    const timer = new AbortController();
    const atDeadline = this.clock.sleepUntil(deadline, timer.signal);
    await Promise.race([write, atDeadline]);
    timer.abort();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    await Promise.all(this.#writes.values());
  }

  async #writeWithRetries(id: string, claim: Claim, settled: Claim | undefined): Promise<void> {
    let isDone = await this.#attempt(id, claim, settled);
    for (let backoff = MIN_BACKOFF_MS; !isDone && !this.#hasGivenUp(claim); backoff *= 2) {
      const wait = this.random.jitter(Math.min(backoff, MAX_BACKOFF_MS));
      await this.clock.sleepUntil(this.clock.now() + wait, this.#stopping.signal);
      isDone = await this.#retries.add(() => this.#attempt(id, claim, settled));
    }
    if (isDone && !settled) runInBackground('claim release', this.#releaseAgain(id, claim.nonce));
  }

  #hasGivenUp({ expiresAt }: Claim): boolean {
    return this.#stopping.signal.aborted || this.clock.now() >= expiresAt;
  }

  async #releaseAgain(id: string, nonce: string): Promise<void> {
    const { signal } = this.#stopping;
    await this.clock.sleepUntil(this.clock.now() + SECOND_RELEASE_DELAY_MS, signal);
    if (signal.aborted) return;
    await this.store.release(id, nonce, this.clock.now() + ATTEMPT_TIMEOUT_MS).catch(() => {});
  }

  async #attempt(id: string, { nonce }: Claim, settled: Claim | undefined): Promise<boolean> {
    const deadline = this.clock.now() + ATTEMPT_TIMEOUT_MS;
    try {
      if (settled) await this.store.settle(id, settled, deadline);
      else await this.store.release(id, nonce, deadline);
      return true;
    } catch {
      return false;
    }
  }
}

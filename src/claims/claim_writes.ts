/** Writes the end of claims to the platform, again and again until it is there. */
import PQueue from 'p-queue';
import { type Claim } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type ClaimStore } from './claim_store.js';

/** How long one try may take, in milliseconds. */
const TRY_MS = 2_000;
/** Cap of the jittered wait between tries: doubled from the first to the last. */
const FIRST_BACKOFF_MS = 100;
const LAST_BACKOFF_MS = 10_000;
/**
 * A create that was given up may still arrive after its claim was found absent; it would refuse
 * repeats for an hour. A second look this much later finds it, in milliseconds.
 */
const SECOND_LOOK_MS = 5_000;

export class ClaimWrites implements AsyncDisposable {
  readonly #tasks = new Map<string, Promise<void>>();

  readonly #stopping = new AbortController();

  /**
   * After an outage thousands of claims may wait to be written, in every process at once; all
   * together they would keep the platform down. Second and later tries go out one by one.
   */
  readonly #retries = new PQueue({ concurrency: 1, interval: 1_000, intervalCap: 5 });

  constructor(
    private readonly store: ClaimStore,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Records the outcome, or removes the claim when there is none; gives up when it expires. */
  write(id: string, claim: Claim, settled: Claim | undefined): Promise<void> {
    const task = this.#persist(id, claim, settled).finally(() => {
      if (this.#tasks.get(id) === task) this.#tasks.delete(id);
    });
    this.#tasks.set(id, task);
    return task;
  }

  /** Resolves when nothing is outstanding for the claim, or at the deadline. */
  async settled(id: string, deadline: number): Promise<void> {
    const task = this.#tasks.get(id);
    if (!task) return;
    const waited = new AbortController();
    const late = this.clock.sleepUntil(deadline, waited.signal);
    await Promise.race([task, late]);
    waited.abort();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    await Promise.all(this.#tasks.values());
  }

  async #persist(id: string, claim: Claim, settled: Claim | undefined): Promise<void> {
    let isDone = await this.#try(id, claim, settled);
    for (let backoff = FIRST_BACKOFF_MS; !isDone && !this.#isOver(claim); backoff *= 2) {
      const wait = this.random.jitter(Math.min(backoff, LAST_BACKOFF_MS));
      await this.clock.sleepUntil(this.clock.now() + wait, this.#stopping.signal);
      isDone = await this.#retries.add(() => this.#try(id, claim, settled));
    }
    if (isDone && !settled) void this.#lookAgain(id, claim.nonce);
  }

  #isOver({ expiresAt }: Claim): boolean {
    return this.#stopping.signal.aborted || this.clock.now() >= expiresAt;
  }

  async #lookAgain(id: string, nonce: string): Promise<void> {
    const { signal } = this.#stopping;
    await this.clock.sleepUntil(this.clock.now() + SECOND_LOOK_MS, signal);
    if (signal.aborted) return;
    await this.store.release(id, nonce, this.clock.now() + TRY_MS).catch(() => {});
  }

  async #try(id: string, { nonce }: Claim, settled: Claim | undefined): Promise<boolean> {
    const deadline = this.clock.now() + TRY_MS;
    try {
      if (settled) await this.store.settle(id, settled, deadline);
      else await this.store.release(id, nonce, deadline);
      return true;
    } catch {
      return false;
    }
  }
}

/** At-most-once execution: decides whether a request with an `Idempotency-Key` may run. */
import { createHash } from 'node:crypto';
import { type Claim, type Outcome, OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { type ClaimStore } from './claim_store.js';
import { ClaimWriter } from './claim_writer.js';
import { HeldClaim } from './held_claim.js';
import { StoreWindow } from './store_window.js';

/** The parts of a request with an idempotency key that claims depend on. */
export interface KeyedRequest {
  readonly route: string;
  readonly key: string;
  /** Digest over method, path and body. */
  readonly fingerprint: string;
  /** Time by which the request must be answered, in milliseconds since the epoch. */
  readonly deadline: number;
}

/** Either the right to run the request, or the outcome of its first run. */
export type Admission =
  | { readonly kind: 'run'; readonly claim: HeldClaim }
  | { readonly kind: 'replay'; readonly outcome: Outcome };

/** How long claims are kept, and so how long at-most-once execution holds, in milliseconds. */
export const CLAIM_RETENTION_MS = 3_600_000;
/** Timeout for creating a claim, in milliseconds; better to have the caller retry than wait. */
const ACQUIRE_TIMEOUT_MS = 1_000;
/** How long a request waits for the release of a claim, in milliseconds. */
const RELEASE_WAIT_MS = 250;
/** Retry delay after the store failed, or while the first request runs, in milliseconds. */
const RETRY_AFTER_MS = 1_000;
/** Retry delay if the outcome of the first request is unknown, in milliseconds. */
const UNKNOWN_RETRY_AFTER_MS = 30_000;
/** Most claims that run or have a write outstanding; only a long outage of the store reaches it. */
const MAX_OUTSTANDING = 10_000;

/**
 * Before a request runs, its claim is created in the platform if absent. The process whose nonce
 * the claim holds may run the request once; all others replay the outcome or refuse.
 */
export class Claims implements AsyncDisposable {
  /** Claims of this process that run or whose outcome or release is not stored yet, by id. */
  readonly #held = new Map<string, HeldClaim>();

  readonly #writer: ClaimWriter;

  readonly #window: StoreWindow;

  #replayed = 0;

  constructor(
    private readonly store: ClaimStore,
    private readonly instance: string,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.#writer = new ClaimWriter(store, clock, random);
    this.#window = new StoreWindow(clock, random);
  }

  /** Number of claims that run here, or whose outcome or release is still being written. */
  get outstanding(): number {
    return this.#held.size;
  }

  /** Number of repeats answered with a recorded outcome since the process started. */
  get replayed(): number {
    return this.#replayed;
  }

  /**
   * Resolves to the right to run, or to the recorded outcome. Throws `key-reused` (`not-run`) for a
   * different request under the same key, `in-progress` or `outcome-unknown` (both `may-have-run`)
   * when no outcome of the first request is known, and `store-unavailable` (`not-run`).
   */
  async admit(request: KeyedRequest): Promise<Admission> {
    const id = claimId(request);
    if (this.#held.get(id)?.isReleased) await this.#awaitRelease(id, request.deadline);
    const own = this.#held.get(id);
    if (own) return this.#answerRepeat(own.claim, request);
    if (this.#held.size >= MAX_OUTSTANDING) throw this.#storeUnavailable();
    return this.#acquire(id, request);
  }

  /** Gives outstanding writes one last attempt. */
  async [Symbol.asyncDispose](): Promise<void> {
    await this.#writer[Symbol.asyncDispose]();
  }

  /**
   * Waits for a claim that is being released. Such a claim is never reused: the pending removal
   * could delete it during the new run, and a repeat elsewhere would run a second time.
   */
  async #awaitRelease(id: string, deadline: number): Promise<void> {
    await this.#writer.waitUntilWritten(id, Math.min(deadline, this.clock.now() + RELEASE_WAIT_MS));
    if (this.#held.get(id)?.isReleased) throw this.#storeUnavailable();
  }

  async #acquire(id: string, { fingerprint, deadline }: KeyedRequest): Promise<Admission> {
    const now = this.clock.now();
    const claim: Claim = {
      nonce: this.random.nonce(),
      fingerprint,
      holder: this.instance,
      runBy: deadline,
      expiresAt: Math.max(now, deadline) + CLAIM_RETENTION_MS,
    };
    const held = this.#track(id, claim);
    const stored = await this.#acquireFromStore(
      id,
      held,
      Math.min(deadline, now + ACQUIRE_TIMEOUT_MS),
    );
    if (stored.nonce === claim.nonce) return { kind: 'run', claim: held };
    this.#forget(id, held);
    return this.#answerRepeat(stored, { fingerprint });
  }

  #track(id: string, claim: Claim): HeldClaim {
    const held = new HeldClaim(claim, this.clock, {
      settle: (settled) => this.#writeEnd(id, held, settled),
      release: () => {
        this.#writeEnd(id, held, undefined);
        return this.#writer.waitUntilWritten(id, this.clock.now() + RELEASE_WAIT_MS);
      },
      abandon: () => this.#forget(id, held),
    });
    this.#held.set(id, held);
    return held;
  }

  /**
   * A create that got no definite answer may have stored the claim. Its nonce is never used for a
   * run, and the claim is removed in the background; until then repeats elsewhere are refused.
   */
  async #acquireFromStore(id: string, held: HeldClaim, deadline: number): Promise<Claim> {
    try {
      const acquire = () => this.store.acquire(id, held.claim, deadline);
      return await this.#window.run(deadline, acquire);
    } catch (error) {
      if (error instanceof OutcomeError && error.verdict !== 'not-run') held.release();
      else this.#forget(id, held);
      throw this.#storeUnavailable(error);
    }
  }

  #writeEnd(id: string, held: HeldClaim, settled: Claim | undefined): void {
    const written = this.#writer.write(id, held.claim, settled);
    runInBackground(
      'claim end',
      written.then(() => this.#forget(id, held)),
    );
  }

  #forget(id: string, held: HeldClaim): void {
    if (this.#held.get(id) === held) this.#held.delete(id);
  }

  #answerRepeat(claim: Claim, { fingerprint }: Pick<KeyedRequest, 'fingerprint'>): Admission {
    if (claim.fingerprint !== fingerprint) {
      const props = { verdict: 'not-run', reason: 'key-reused' } as const;
      throw new OutcomeError('the idempotency key was already used for a different request', props);
    }
    if (claim.outcome) {
      this.#replayed += 1;
      return { kind: 'replay', outcome: claim.outcome };
    }
    const now = this.clock.now();
    const isRunning = now < claim.runBy;
    const retryAt = now + (isRunning ? RETRY_AFTER_MS : UNKNOWN_RETRY_AFTER_MS);
    throw new OutcomeError('a request with the same key was started before and may have run', {
      verdict: 'may-have-run',
      reason: isRunning ? 'in-progress' : 'outcome-unknown',
      // After the claim has expired the key would run again, so no retry is suggested by then.
      ...(retryAt < claim.expiresAt && { retryAt }),
    });
  }

  #storeUnavailable(cause?: unknown): OutcomeError {
    const retryAt = this.clock.now() + RETRY_AFTER_MS;
    const props = { verdict: 'not-run', reason: 'store-unavailable', retryAt } as const;
    return new OutcomeError(
      'the claim could not be created: the claim store is unavailable',
      props,
      { cause },
    );
  }
}

/** Digest over route and key; the length keeps different pairs from giving the same input. */
function claimId({ route, key }: KeyedRequest): string {
  return createHash('sha256').update(`${route.length}:${route}${key}`).digest('hex');
}

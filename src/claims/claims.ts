/** At most once: decides whether a request with an `Idempotency-Key` runs, and answers repeats. */
import { createHash } from 'node:crypto';
import { type Claim, type Outcome, OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type ClaimStore } from './claim_store.js';
import { ClaimWrites } from './claim_writes.js';
import { HeldClaim } from './held_claim.js';
import { StoreWindow } from './store_window.js';

/** A request with a key, as far as claims need it. */
export interface KeyedRequest {
  readonly route: string;
  readonly key: string;
  /** Digest over method, path and body. */
  readonly fingerprint: string;
  /** Instant by which it must be answered, in milliseconds since the epoch. */
  readonly deadline: number;
}

/** Either the right to run the request, or how it ended the first time. */
export type Admission =
  | { readonly kind: 'run'; readonly claim: HeldClaim }
  | { readonly kind: 'replay'; readonly outcome: Outcome };

/** How long claims are kept, and with them the promise of at most one run, in milliseconds. */
export const KEEP_MS = 3_600_000;
/** How long a claim may take to be created; a caller is better told to come back. */
const ACQUIRE_MS = 1_000;
/** How long a request waits for the release of a claim, in milliseconds. */
const RELEASE_WAIT_MS = 250;
/** When to come back after the store failed, or while the first request runs, in milliseconds. */
const RETRY_AFTER_MS = 1_000;
/** When to come back if the first request's end is not known, in milliseconds. */
const UNKNOWN_RETRY_AFTER_MS = 30_000;
/** Claims with writes outstanding; beyond it the store has failed for long. */
const MAX_OUTSTANDING = 10_000;

/**
 * A claim is created in the platform, if absent, before the request runs. Its nonce gives one
 * process the right to run it once; everybody else answers with the outcome, or refuses.
 */
export class Claims implements AsyncDisposable {
  /** Claims of this process whose last word is not in the platform yet, by id. */
  readonly #held = new Map<string, HeldClaim>();

  readonly #writes: ClaimWrites;

  readonly #window: StoreWindow;

  #replayed = 0;

  constructor(
    private readonly store: ClaimStore,
    private readonly instance: string,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.#writes = new ClaimWrites(store, clock, random);
    this.#window = new StoreWindow(clock, random);
  }

  /** Claims held here that run, or whose end is still being written. */
  get outstanding(): number {
    return this.#held.size;
  }

  /** Repeats that were told an outcome, since the start. */
  get replayed(): number {
    return this.#replayed;
  }

  /**
   * Resolves to the right to run, or to the recorded outcome. Throws `key-reused` for another
   * request under the same key, `in-progress` or `outcome-unknown` (both `may-have-run`) where a
   * first run is not known to have ended, and `store-unavailable` (`not-run`).
   */
  async admit(request: KeyedRequest): Promise<Admission> {
    const id = claimId(request);
    if (this.#held.get(id)?.isReleased) await this.#awaitRelease(id, request.deadline);
    const own = this.#held.get(id);
    if (own) return this.#repeat(own.claim, request);
    if (this.#held.size >= MAX_OUTSTANDING) throw this.#storeUnavailable();
    return this.#acquire(id, request);
  }

  /** Gives writes that are outstanding a last try. */
  async [Symbol.asyncDispose](): Promise<void> {
    await this.#writes[Symbol.asyncDispose]();
  }

  /**
   * A claim that is being released is waited for and never taken up again: the removal that is on
   * its way would take it from under the new run, and a repeat elsewhere would run a second time.
   */
  async #awaitRelease(id: string, deadline: number): Promise<void> {
    await this.#writes.settled(id, Math.min(deadline, this.clock.now() + RELEASE_WAIT_MS));
    if (this.#held.get(id)?.isReleased) throw this.#storeUnavailable();
  }

  async #acquire(id: string, { fingerprint, deadline }: KeyedRequest): Promise<Admission> {
    const now = this.clock.now();
    const claim: Claim = {
      nonce: this.random.nonce(),
      fingerprint,
      holder: this.instance,
      runBy: deadline,
      expiresAt: Math.max(now, deadline) + KEEP_MS,
    };
    const held = this.#hold(id, claim);
    const there = await this.#ask(id, held, Math.min(deadline, now + ACQUIRE_MS));
    if (there.nonce === claim.nonce) return { kind: 'run', claim: held };
    this.#forget(id, held);
    return this.#repeat(there, { fingerprint });
  }

  #hold(id: string, claim: Claim): HeldClaim {
    const held = new HeldClaim(claim, this.clock, {
      settle: (settled) => this.#finish(id, held, settled),
      release: () => {
        this.#finish(id, held, undefined);
        return this.#writes.settled(id, this.clock.now() + RELEASE_WAIT_MS);
      },
      abandon: () => this.#forget(id, held),
    });
    this.#held.set(id, held);
    return held;
  }

  /**
   * A create whose answer was lost for good may have left the claim. Its nonce is never used for a
   * run, and it is removed in the background: until then repeats elsewhere are refused, not run.
   */
  async #ask(id: string, held: HeldClaim, deadline: number): Promise<Claim> {
    try {
      const acquire = () => this.store.acquire(id, held.claim, deadline);
      return await this.#window.run(deadline, acquire);
    } catch (error) {
      if (error instanceof OutcomeError && error.verdict !== 'not-run') held.release();
      else this.#forget(id, held);
      throw this.#storeUnavailable(error);
    }
  }

  #finish(id: string, held: HeldClaim, settled: Claim | undefined): void {
    void this.#writes.write(id, held.claim, settled).then(() => this.#forget(id, held));
  }

  #forget(id: string, held: HeldClaim): void {
    if (this.#held.get(id) === held) this.#held.delete(id);
  }

  #repeat(claim: Claim, { fingerprint }: Pick<KeyedRequest, 'fingerprint'>): Admission {
    if (claim.fingerprint !== fingerprint) {
      const props = { verdict: 'not-run', reason: 'key-reused' } as const;
      throw new OutcomeError('the key was used for another request', props);
    }
    if (claim.outcome) {
      this.#replayed += 1;
      return { kind: 'replay', outcome: claim.outcome };
    }
    const now = this.clock.now();
    const isRunning = now < claim.runBy;
    const retryAt = now + (isRunning ? RETRY_AFTER_MS : UNKNOWN_RETRY_AFTER_MS);
    throw new OutcomeError('the same request was begun before and may have run', {
      verdict: 'may-have-run',
      reason: isRunning ? 'in-progress' : 'outcome-unknown',
      // Once the claim has expired the key runs anew: nobody is told to come back by then.
      ...(retryAt < claim.expiresAt && { retryAt }),
    });
  }

  #storeUnavailable(cause?: unknown): OutcomeError {
    const retryAt = this.clock.now() + RETRY_AFTER_MS;
    const props = { verdict: 'not-run', reason: 'store-unavailable', retryAt } as const;
    return new OutcomeError('the claim could not be made', props, { cause });
  }
}

/** Digest over route and key; the length keeps one from running into the other. */
function claimId({ route, key }: KeyedRequest): string {
  return createHash('sha256').update(`${route.length}:${route}${key}`).digest('hex');
}

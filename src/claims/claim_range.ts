/** One range of claims: writes batches of operations as one conditional update each. */
import { asOutcome, type Claim, ClaimPage, OutcomeError } from '../contracts.js';
import { MAX_VALUE_BYTES, type Platform, type Stored } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { unavailableError } from './claim_store.js';

type ClaimsById = Record<string, Claim>;

/** A pending operation on the range. */
interface Operation {
  readonly id: string;
  readonly deadline: number;
  /** Applies the operation to `claims`; idempotent. Returns whether `claims` changed. */
  readonly apply: (claims: ClaimsById) => boolean;
  readonly succeed: (claims: ClaimsById) => void;
  readonly fail: (error: OutcomeError) => void;
}

/** Upper bound of the jittered wait after a conflict or a failure, in milliseconds. */
const RETRY_CAP_MS = 20;
/** Largest page that is written, in bytes; claims that would exceed it are refused. */
const MAX_PAGE_BYTES = MAX_VALUE_BYTES * 0.9;

export class ClaimRange {
  #pending: Operation[] = [];

  #isFlushing = false;

  /** The page as last read or written; undefined when it may have changed since. */
  #cachedPage: Stored | undefined;

  constructor(
    private readonly key: string,
    private readonly platform: Platform,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly windowMs: number,
  ) {}

  acquire(id: string, claim: Claim, deadline: number): Promise<Claim> {
    const apply = (claims: ClaimsById) => {
      if (claims[id]) return false;
      claims[id] = claim;
      return true;
    };
    return this.#submit(id, deadline, apply, (claims) => claims[id]!);
  }

  settle(id: string, claim: Claim, deadline: number): Promise<void> {
    const apply = (claims: ClaimsById) => {
      const held = claims[id];
      if (held?.nonce !== claim.nonce || held.outcome) return false;
      claims[id] = claim;
      return true;
    };
    return this.#submit(id, deadline, apply, () => undefined);
  }

  release(id: string, nonce: string, deadline: number): Promise<void> {
    const apply = (claims: ClaimsById) => {
      if (claims[id]?.nonce !== nonce) return false;
      delete claims[id];
      return true;
    };
    return this.#submit(id, deadline, apply, () => undefined);
  }

  #submit<T>(
    id: string,
    deadline: number,
    apply: (claims: ClaimsById) => boolean,
    result: (claims: ClaimsById) => T,
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      const succeed = (claims: ClaimsById) => resolve(result(claims));
      this.#pending.push({ id, deadline, apply, succeed, fail: reject });
      if (!this.#isFlushing) runInBackground('claim page', this.#flush());
    });
  }

  /** Writes one batch after another until no operation is pending. */
  async #flush(): Promise<void> {
    this.#isFlushing = true;
    await this.clock.sleepUntil(this.clock.now() + this.windowMs);
    while (this.#pending.length > 0) {
      const batch = this.#pending;
      this.#pending = [];
      await this.#write(batch);
    }
    this.#isFlushing = false;
  }

  /** Retries until the batch is written or the deadlines of all its operations have passed. */
  async #write(batch: Operation[]): Promise<void> {
    let inDoubt = false;
    for (let left = batch; left.length > 0;) {
      const now = this.clock.now();
      for (const { deadline, fail } of left) if (deadline <= now) fail(unavailableError(inDoubt));
      left = left.filter(({ deadline }) => deadline > now);
      if (left.length === 0) return;
      try {
        if (await this.#attempt(left)) return;
      } catch (error) {
        if (!(error instanceof OutcomeError)) {
          // An unreadable page: another attempt would read it again.
          for (const { fail } of left) fail(asOutcome(error));
          return;
        }
        inDoubt ||= error.verdict !== 'not-run';
      }
      this.#cachedPage = undefined;
      await this.clock.sleepUntil(this.clock.now() + this.random.jitter(RETRY_CAP_MS));
    }
  }

  /** One read, unless the page is cached, and one conditional write; false after a conflict. */
  async #attempt(batch: readonly Operation[]): Promise<boolean> {
    const deadline = Math.max(...batch.map((operation) => operation.deadline));
    const isFresh = this.#cachedPage === undefined;
    const stored = this.#cachedPage ?? (await this.platform.get(this.key, deadline));
    const claims = stored ? this.#unexpired(stored) : {};
    // Every operation has to be applied, so this cannot stop at the first that changes the page.
    const changed = batch.filter(({ apply }) => apply(claims));
    if (changed.length === 0) return this.#answerUnchanged(batch, claims, stored, isFresh);
    const value = JSON.stringify({ claims } satisfies ClaimPage);
    if (Buffer.byteLength(value) > MAX_PAGE_BYTES) throw pageFullError();
    const written = stored
      ? await this.platform.update(this.key, value, stored.revision, deadline)
      : await this.platform.create(this.key, value, deadline);
    if (!written) return false;
    this.#cachedPage = written;
    for (const { succeed } of batch) succeed(claims);
    return true;
  }

  /**
   * Answers a batch that changes nothing. A cached page may be out of date: it may show a claim
   * that has been released, and the caller would be refused without need. So this answers from a
   * page that was just read, and otherwise returns false to have it read.
   */
  #answerUnchanged(
    batch: readonly Operation[],
    claims: ClaimsById,
    stored: Stored | undefined,
    isFresh: boolean,
  ): boolean {
    if (!isFresh) return false;
    this.#cachedPage = stored;
    for (const { succeed } of batch) succeed(claims);
    return true;
  }

  /** The unexpired claims. The next write drops the others, so ranges need no sweep. */
  #unexpired({ value }: Stored): ClaimsById {
    const now = this.clock.now();
    const { claims } = ClaimPage.parse(JSON.parse(value));
    return Object.fromEntries(Object.entries(claims).filter(([, claim]) => claim.expiresAt > now));
  }
}

function pageFullError(): OutcomeError {
  const props = { verdict: 'not-run', reason: 'store-unavailable' } as const;
  return new OutcomeError(`page of claims is full: the limit is ${MAX_PAGE_BYTES} bytes`, props);
}

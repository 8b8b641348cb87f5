/** One range of claims: gathers what is asked of it and writes it as one conditional update. */
import { type Claim, ClaimPage, OutcomeError } from '../contracts.js';
import { MAX_VALUE_BYTES, type Platform, type Stored } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { unsettled } from './claim_store.js';

type Claims = Record<string, Claim>;

/** Something asked of the range, until it is answered. */
interface Operation {
  readonly id: string;
  readonly deadline: number;
  /** Changes `claims` if it has to; a second time changes nothing. Tells whether it did. */
  readonly apply: (claims: Claims) => boolean;
  readonly done: (claims: Claims) => void;
  readonly fail: (error: OutcomeError) => void;
}

/** Cap of the jittered wait after a conflict or a failure, in milliseconds. */
const RETRY_CAP_MS = 20;
/** Beyond this the page is full and takes no further claims, in bytes. */
const MAX_PAGE_BYTES = MAX_VALUE_BYTES * 0.9;

export class ClaimRange {
  #waiting: Operation[] = [];

  #isFlushing = false;

  /** The page as last seen, or undefined when it may have changed since. */
  #seen: Stored | undefined;

  constructor(
    private readonly key: string,
    private readonly platform: Platform,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly windowMs: number,
  ) {}

  acquire(id: string, claim: Claim, deadline: number): Promise<Claim> {
    const apply = (claims: Claims) => {
      if (claims[id]) return false;
      claims[id] = claim;
      return true;
    };
    return this.#submit(id, deadline, apply, (claims) => claims[id]!);
  }

  settle(id: string, claim: Claim, deadline: number): Promise<void> {
    const apply = (claims: Claims) => {
      const held = claims[id];
      if (held?.nonce !== claim.nonce || held.outcome) return false;
      claims[id] = claim;
      return true;
    };
    return this.#submit(id, deadline, apply, () => undefined);
  }

  release(id: string, nonce: string, deadline: number): Promise<void> {
    const apply = (claims: Claims) => {
      if (claims[id]?.nonce !== nonce) return false;
      delete claims[id];
      return true;
    };
    return this.#submit(id, deadline, apply, () => undefined);
  }

  #submit<T>(
    id: string,
    deadline: number,
    apply: (claims: Claims) => boolean,
    result: (claims: Claims) => T,
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      const done = (claims: Claims) => resolve(result(claims));
      this.#waiting.push({ id, deadline, apply, done, fail: reject });
      if (!this.#isFlushing) void this.#flush();
    });
  }

  /** Writes batch after batch while there is something to write. */
  async #flush(): Promise<void> {
    this.#isFlushing = true;
    await this.clock.sleepUntil(this.clock.now() + this.windowMs);
    while (this.#waiting.length > 0) {
      const batch = this.#waiting;
      this.#waiting = [];
      await this.#write(batch);
    }
    this.#isFlushing = false;
  }

  /** Tries until the batch is written, or all who asked have no time left. */
  async #write(batch: Operation[]): Promise<void> {
    let inDoubt = false;
    for (let left = batch; left.length > 0;) {
      const now = this.clock.now();
      for (const { deadline, fail } of left) if (deadline <= now) fail(unsettled(inDoubt));
      left = left.filter(({ deadline }) => deadline > now);
      if (left.length === 0) return;
      try {
        if (await this.#attempt(left)) return;
      } catch (error) {
        if (!(error instanceof OutcomeError)) throw error;
        inDoubt ||= error.verdict !== 'not-run';
      }
      this.#seen = undefined;
      await this.clock.sleepUntil(this.clock.now() + this.random.jitter(RETRY_CAP_MS));
    }
  }

  /** One read, unless the page is known, and one conditional write; false after a conflict. */
  async #attempt(batch: readonly Operation[]): Promise<boolean> {
    const deadline = Math.max(...batch.map((operation) => operation.deadline));
    const isFresh = this.#seen === undefined;
    const stored = this.#seen ?? (await this.platform.get(this.key, deadline));
    const claims = stored ? this.#unexpired(stored) : {};
    // Evaluated for all: each operation has to be applied, not just the first that changes.
    const changed = batch.filter(({ apply }) => apply(claims));
    if (changed.length === 0) return this.#answerUnchanged(batch, claims, stored, isFresh);
    const value = JSON.stringify({ claims } satisfies ClaimPage);
    if (Buffer.byteLength(value) > MAX_PAGE_BYTES) throw full();
    const written = stored
      ? await this.platform.update(this.key, value, stored.revision, deadline)
      : await this.platform.create(this.key, value, deadline);
    if (!written) return false;
    this.#seen = written;
    for (const { done } of batch) done(claims);
    return true;
  }

  /**
   * Nothing to write. A page from memory may be out of date: a claim it shows may have been
   * released, and its caller would be refused for nothing. So that answer is given from a read.
   */
  #answerUnchanged(
    batch: readonly Operation[],
    claims: Claims,
    stored: Stored | undefined,
    isFresh: boolean,
  ): boolean {
    if (!isFresh) return false;
    this.#seen = stored;
    for (const { done } of batch) done(claims);
    return true;
  }

  /** The claims that still stand; the next write leaves out the others, so no sweep is needed. */
  #unexpired({ value }: Stored): Claims {
    const now = this.clock.now();
    const { claims } = ClaimPage.parse(JSON.parse(value));
    return Object.fromEntries(Object.entries(claims).filter(([, claim]) => claim.expiresAt > now));
  }
}

function full(): OutcomeError {
  const props = { verdict: 'not-run', reason: 'store-unavailable' } as const;
  return new OutcomeError('the page of claims is full', props);
}

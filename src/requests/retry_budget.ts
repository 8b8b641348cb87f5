/** How many retries one process may add for an upstream, and when they go out. */
import { type Verdict } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';

/** An attempt that failed, as far as the decision to try again needs it. */
export interface FailedAttempt {
  readonly verdict: Verdict;
  /** Stable reason of the failure, as in the refusal's header. */
  readonly reason: string;
  /** Attempts made so far, the failed one included. */
  readonly attempts: number;
  /** Attempts that the route allows; the usual number when absent. */
  readonly maxAttempts?: number | undefined;
  /** Whether the request may run twice. */
  readonly repeatable: boolean;
  /** Whether another hop, above or below, has retried this request already. */
  readonly retriedElsewhere: boolean;
  /** Instant by which the request must be answered, in milliseconds since the epoch. */
  readonly deadline: number;
}

/** A further attempt that was granted. */
export interface Retry {
  /** Instant at which it may start, in milliseconds since the epoch. */
  readonly startAt: number;
  /** Whether the request moves to another endpoint because the last one never took it. */
  readonly isFailover: boolean;
}

export const MAX_ATTEMPTS = 3;
/** Most tokens saved up: what a burst of retries after a quiet time may spend. */
const MAX_TOKENS = 20;
/** Tokens earned by time alone, so that a quiet service can still retry now and then. */
const FLOOR_TOKENS_PER_MS = 0.5 / 1000;
const RETRY_COST = 1;
/**
 * A refusal by one endpoint before any work costs the upstream nothing, and not to move on would
 * lose the request. At the default of ten percent each answered request pays for one such move.
 */
const FAILOVER_COST = 0.1;
/** Reasons for which one endpoint, not the upstream as a whole, did not take the request. */
const FAILOVER_REASONS: ReadonlySet<string> = new Set([
  'connection',
  'unreachable',
  'draining',
  'no-endpoint',
]);
/**
 * Reasons that another attempt soon can't change. The caller gets the final answer at once, with
 * when to come back.
 */
const FINAL_REASONS: ReadonlySet<string> = new Set([
  'store-unavailable',
  'quarantined',
  'key-required',
  'key-reused',
  'bad-request',
  'body-too-large',
  'headers-too-large',
  'deadline',
]);
const BACKOFF_BASE_MS = 10;
const BACKOFF_CAP_MS = 250;
/** An attempt that would have less time than this cannot be answered; it would only add load. */
const LEAST_ATTEMPT_MS = 5;

/**
 * Token bucket for the retries of one upstream. Tokens are earned by requests that were answered,
 * not by those begun: while a service fails altogether its callers retry at the floor only. With
 * calls several deep each level would otherwise multiply the load on whatever fails at the bottom.
 */
export class RetryBudget {
  #tokens = MAX_TOKENS / 2;

  #refilledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.#refilledAt = clock.now();
  }

  /** Retries that could go out now. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Earns what one answered request is worth: `retryPercent` of a retry. */
  credit(retryPercent: number): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + retryPercent / 100);
  }

  /** Pays for a further attempt; undefined if there must be none. */
  retry(failed: FailedAttempt, retryPercent: number): Retry | undefined {
    if (failed.attempts >= (failed.maxAttempts ?? MAX_ATTEMPTS) || retryPercent === 0)
      return undefined;
    const isFailover = failed.verdict === 'not-run' && FAILOVER_REASONS.has(failed.reason);
    if (!isFailover && !maySendAgain(failed)) return undefined;
    const now = this.clock.now();
    const startAt = isFailover ? now : now + this.#backoff(failed.attempts);
    if (startAt + LEAST_ATTEMPT_MS > failed.deadline) return undefined;
    if (!this.#pay(isFailover ? FAILOVER_COST : RETRY_COST, now)) return undefined;
    return { startAt, isFailover };
  }

  #backoff(attempts: number): number {
    return this.random.jitter(Math.min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2 ** (attempts - 1)));
  }

  #pay(cost: number, now: number): boolean {
    const earned = Math.max(0, now - this.#refilledAt) * FLOOR_TOKENS_PER_MS;
    this.#refilledAt = now;
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + earned);
    if (this.#tokens < cost) return false;
    this.#tokens -= cost;
    return true;
  }
}

/** The budgets of one process, by upstream. Their number is that of configured upstreams. */
export class RetryBudgets {
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  of(upstream: string): RetryBudget {
    let budget = this.#budgets.get(upstream);
    if (!budget) {
      budget = new RetryBudget(this.clock, this.random);
      this.#budgets.set(upstream, budget);
    }
    return budget;
  }
}

/** An answer (`ran`) stands. What may have run is sent again only if it may run twice. */
function maySendAgain({ verdict, reason, repeatable, retriedElsewhere }: FailedAttempt): boolean {
  if (retriedElsewhere || verdict === 'ran' || FINAL_REASONS.has(reason)) return false;
  return verdict === 'not-run' || repeatable;
}

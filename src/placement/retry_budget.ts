/** Limits the retries that one process adds for an upstream, and schedules them. */
import { type Verdict } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';

/** A failed attempt, as the decision on a retry needs it. */
export interface FailedAttempt {
  readonly verdict: Verdict;
  /** Reason code of the failure, as in the header of the refusal. */
  readonly reason: string;
  /** Number of attempts that reached an upstream instance, or may have, including the failed one. */
  readonly attempts: number;
  /** Number of attempts that certainly reached none, including the failed one. */
  readonly moves?: number;
  /** Number of attempts that the route allows; `MAX_ATTEMPTS` when absent. */
  readonly maxAttempts?: number | undefined;
  /** Whether the request may be run twice. */
  readonly repeatable: boolean;
  /** Whether another hop, closer to the caller or to the upstream, has retried this request already. */
  readonly retriedElsewhere: boolean;
  /** Instant by which the request must be answered, in milliseconds since the epoch. */
  readonly deadline: number;
}

/** A retry that was granted. */
export interface Retry {
  /** Instant at which it may start, in milliseconds since the epoch. */
  readonly startAt: number;
  /** Whether the request moves to another endpoint because the last one did not accept it. */
  readonly isFailover: boolean;
}

/** Why a request is not retried. */
export type Denial = 'retries-off' | 'attempts-used' | 'moves-used' | 'not-repeatable';

export const MAX_ATTEMPTS = 3;
/**
 * Maximum number of failovers per request. Under overload a further endpoint has no capacity either,
 * and the attempt costs a process time in which it could have answered.
 */
const MAX_MOVES = 2;
const RETRY_COST = 1;
/** Reasons with which a request was not accepted by the guard of an endpoint, or did not reach it. */
const FAILOVER_REASONS: ReadonlySet<string> = new Set([
  'connection',
  'unreachable',
  'draining',
  'no-endpoint',
  'overloaded',
]);
/**
 * Reasons that will not change within the time of a retry. The caller gets the refusal at once, with
 * the time after which to retry.
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
/** Minimum time for an attempt; with less it could not be answered and would only add load. */
const MIN_ATTEMPT_MS = 5;

const MS_PER_SECOND = 1_000;

/** Limits on the retries of one process for one upstream, beside those earned by answers. */
export interface RetryAllowance {
  /** Maximum number of saved tokens: the size of a burst of retries after an idle time. */
  readonly burst: number;
  /** Tokens earned per second regardless of answers, so that a service with few requests can retry. */
  readonly perSecond: number;
}

const DEFAULT_ALLOWANCE: RetryAllowance = { burst: 20, perSecond: 0.5 };

/** Retry settings of a process. */
export interface RetrySettings {
  /** Retries as a percentage of answered requests, for routes without a limit of their own. */
  readonly percent: number;
  readonly allowance: () => RetryAllowance;
}

export const DEFAULT_RETRY_SETTINGS: RetrySettings = {
  percent: 10,
  allowance: () => DEFAULT_ALLOWANCE,
};

/** Shares of the fleet's slack that may be spent in a burst, and steadily over a whole window. */
const BURST_SHARE = 0.4;
const STEADY_SHARE = 0.3;

/**
 * The allowance of one process if the whole fleet may add `slack` retries, beside the percentage,
 * within any window of `windowMs`. Each process takes an equal part without coordination.
 */
export function allowanceOf(slack: number, windowMs: number, processes: number): RetryAllowance {
  const part = slack / Math.max(1, processes);
  return {
    burst: Math.max(1, part * BURST_SHARE),
    perSecond: (part * STEADY_SHARE * MS_PER_SECOND) / windowMs,
  };
}

/**
 * Token bucket for the retries of one upstream. Tokens are earned by answered requests, not by
 * requests sent: while a service fails completely, its callers retry only at the rate of
 * `perSecond`. In a chain of calls each level would otherwise multiply the load on the failing one.
 */
export class RetryBudget {
  #tokens: number;

  #refilledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly allowance: () => RetryAllowance = () => DEFAULT_ALLOWANCE,
  ) {
    this.#tokens = allowance().burst / 2;
    this.#refilledAt = clock.now();
  }

  /** Number of retries that could be sent now. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Adds the tokens of one answered request: `retryPercent` percent of a retry. */
  credit(retryPercent: number): void {
    this.#tokens = Math.min(this.allowance().burst, this.#tokens + retryPercent / 100);
  }

  /** Grants a retry and spends its token; undefined if there must be none. */
  retry(failed: FailedAttempt, retryPercent: number): Retry | undefined {
    if (this.denial(failed, retryPercent)) return undefined;
    const isFailover = isNotDelivered(failed);
    const now = this.clock.now();
    const startAt = isFailover ? now : now + this.#backoff(failed.attempts);
    if (startAt + MIN_ATTEMPT_MS > failed.deadline) return undefined;
    // A failover is free: no upstream instance has got the request, so it adds no load.
    if (!isFailover && !this.#spend(now)) return undefined;
    return { startAt, isFailover };
  }

  /** Why there must be no retry, regardless of the budget; undefined if one is allowed. */
  denial(failed: FailedAttempt, retryPercent: number): Denial | undefined {
    if (retryPercent === 0) return 'retries-off';
    if (failed.attempts >= (failed.maxAttempts ?? MAX_ATTEMPTS)) return 'attempts-used';
    if (isNotDelivered(failed)) return (failed.moves ?? 0) > MAX_MOVES ? 'moves-used' : undefined;
    return mayRetry(failed) ? undefined : 'not-repeatable';
  }

  #backoff(attempts: number): number {
    return this.random.backoff(attempts - 1, BACKOFF_BASE_MS, BACKOFF_CAP_MS);
  }

  #spend(now: number): boolean {
    const { burst, perSecond } = this.allowance();
    const earned = (Math.max(0, now - this.#refilledAt) * perSecond) / MS_PER_SECOND;
    this.#refilledAt = now;
    this.#tokens = Math.min(burst, this.#tokens + earned);
    if (this.#tokens < RETRY_COST) return false;
    this.#tokens -= RETRY_COST;
    return true;
  }
}

/** The budgets of one process by upstream; bounded by the number of configured upstreams. */
export class RetryBudgets {
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly allowance: () => RetryAllowance = () => DEFAULT_ALLOWANCE,
  ) {}

  get all(): ReadonlyMap<string, RetryBudget> {
    return this.#budgets;
  }

  of(upstream: string): RetryBudget {
    let budget = this.#budgets.get(upstream);
    if (!budget) {
      budget = new RetryBudget(this.clock, this.random, this.allowance);
      this.#budgets.set(upstream, budget);
    }
    return budget;
  }
}

/** Whether an attempt certainly reached no upstream instance. */
export function isNotDelivered({
  verdict,
  reason,
}: Pick<FailedAttempt, 'verdict' | 'reason'>): boolean {
  return verdict === 'not-run' && FAILOVER_REASONS.has(reason);
}

/** An answer (`ran`) is final. A request that may have run is retried only if it may be run twice. */
function mayRetry({ verdict, reason, repeatable, retriedElsewhere }: FailedAttempt): boolean {
  if (retriedElsewhere || verdict === 'ran' || FINAL_REASONS.has(reason)) return false;
  return verdict === 'not-run' || repeatable;
}

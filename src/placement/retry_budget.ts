/** How many retries one process may add for an upstream, and when they go out. */
import { type Verdict } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';

/** An attempt that failed, as far as the decision to try again needs it. */
export interface FailedAttempt {
  readonly verdict: Verdict;
  /** Stable reason of the failure, as in the refusal's header. */
  readonly reason: string;
  /** Attempts that reached an upstream instance, or may have, the failed one included. */
  readonly attempts: number;
  /** Attempts that certainly reached none, the failed one included. */
  readonly moves?: number;
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

/** Why a request is not sent again. */
export type Denial = 'retries-off' | 'attempts-used' | 'moves-used' | 'not-repeatable';

export const MAX_ATTEMPTS = 3;
/**
 * Moves to another endpoint by one request at most. Under overload each further one finds no room
 * either, and costs a process the time in which it could have answered.
 */
const MAX_MOVES = 2;
const RETRY_COST = 1;
/** Reasons for which the process beside one endpoint, or the way there, did not take the request. */
const FAILOVER_REASONS: ReadonlySet<string> = new Set([
  'connection',
  'unreachable',
  'draining',
  'no-endpoint',
  'overloaded',
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

const MS_PER_SECOND = 1_000;

/** What the retries of one process for one upstream may come to. */
export interface Allowance {
  /** Most tokens saved up: what a burst of retries after a quiet time may spend. */
  readonly burst: number;
  /** Tokens earned by time alone, so that a quiet service can still retry now and then. */
  readonly perSecond: number;
}

const USUAL: Allowance = { burst: 20, perSecond: 0.5 };

/** What a process is allowed. */
export interface Retries {
  /** As a percentage of answered requests, for routes that name no limit. */
  readonly percent: number;
  readonly allowance: () => Allowance;
}

export const USUAL_RETRIES: Retries = { percent: 10, allowance: () => USUAL };

/** Share of the fleet's slack that may be spent in a burst, and over a whole window. */
const BURST_SHARE = 0.4;
const STEADY_SHARE = 0.3;

/**
 * This process's part of what the whole fleet may add within any window of `windowMs`: `slack`
 * retries beside the percentage. Nobody is asked; each takes an equal part.
 */
export function partOf(slack: number, windowMs: number, processes: number): Allowance {
  const part = slack / Math.max(1, processes);
  return {
    burst: Math.max(1, part * BURST_SHARE),
    perSecond: (part * STEADY_SHARE * MS_PER_SECOND) / windowMs,
  };
}

/**
 * Token bucket for the retries of one upstream. Tokens are earned by requests that were answered,
 * not by those begun: while a service fails altogether its callers retry at the floor only. With
 * calls several deep each level would otherwise multiply the load on whatever fails at the bottom.
 */
export class RetryBudget {
  #tokens: number;

  #refilledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly allowance: () => Allowance = () => USUAL,
  ) {
    this.#tokens = allowance().burst / 2;
    this.#refilledAt = clock.now();
  }

  /** Retries that could go out now. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Earns what one answered request is worth: `retryPercent` of a retry. */
  credit(retryPercent: number): void {
    this.#tokens = Math.min(this.allowance().burst, this.#tokens + retryPercent / 100);
  }

  /** Pays for a further attempt; undefined if there must be none. */
  retry(failed: FailedAttempt, retryPercent: number): Retry | undefined {
    if (this.denial(failed, retryPercent)) return undefined;
    const isFailover = isUnoffered(failed);
    const now = this.clock.now();
    const startAt = isFailover ? now : now + this.#backoff(failed.attempts);
    if (startAt + LEAST_ATTEMPT_MS > failed.deadline) return undefined;
    // A move adds nothing to what any upstream instance has to bear, so it is free.
    if (!isFailover && !this.#pay(now)) return undefined;
    return { startAt, isFailover };
  }

  /** Why there must be no further attempt, whatever the budget holds. */
  denial(failed: FailedAttempt, retryPercent: number): Denial | undefined {
    if (retryPercent === 0) return 'retries-off';
    if (failed.attempts >= (failed.maxAttempts ?? MAX_ATTEMPTS)) return 'attempts-used';
    if (isUnoffered(failed)) return (failed.moves ?? 0) > MAX_MOVES ? 'moves-used' : undefined;
    return maySendAgain(failed) ? undefined : 'not-repeatable';
  }

  #backoff(attempts: number): number {
    return this.random.jitter(Math.min(BACKOFF_CAP_MS, BACKOFF_BASE_MS * 2 ** (attempts - 1)));
  }

  #pay(now: number): boolean {
    const { burst, perSecond } = this.allowance();
    const earned = (Math.max(0, now - this.#refilledAt) * perSecond) / MS_PER_SECOND;
    this.#refilledAt = now;
    this.#tokens = Math.min(burst, this.#tokens + earned);
    if (this.#tokens < RETRY_COST) return false;
    this.#tokens -= RETRY_COST;
    return true;
  }
}

/** The budgets of one process, by upstream. Their number is that of configured upstreams. */
export class RetryBudgets {
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly allowance: () => Allowance = () => USUAL,
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
export function isUnoffered({
  verdict,
  reason,
}: Pick<FailedAttempt, 'verdict' | 'reason'>): boolean {
  return verdict === 'not-run' && FAILOVER_REASONS.has(reason);
}

/** An answer (`ran`) stands. What may have run is sent again only if it may run twice. */
function maySendAgain({ verdict, reason, repeatable, retriedElsewhere }: FailedAttempt): boolean {
  if (retriedElsewhere || verdict === 'ran' || FINAL_REASONS.has(reason)) return false;
  return verdict === 'not-run' || repeatable;
}

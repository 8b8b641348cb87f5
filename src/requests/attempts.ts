/** The attempts for one request: chooses the next endpoint and decides when to give up. */
import { notRun, OutcomeError, type Verdict } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Balancer } from '../placement/balancer.js';
import { type Body } from './body.js';
import { type EndpointStats } from '../placement/endpoint_stats.js';
import { type RoutedRequest } from './routed_request.js';
import { RETRIED } from './headers.js';
import {
  type FailedAttempt,
  isNotDelivered,
  MAX_ATTEMPTS,
  type RetryBudgets,
} from '../placement/retry_budget.js';

/** Retry delay sent to the caller when no endpoint serves the upstream, in milliseconds. */
const NO_ENDPOINT_RETRY_MS = 1_000;
const NONE_TRIED: ReadonlySet<EndpointStats> = new Set();
const VERDICT_RANK: Record<Verdict, number> = { 'not-run': 0, 'may-have-run': 1, ran: 2 };

/** Where and when to try next. */
export interface NextAttempt {
  readonly endpoint: EndpointStats;
  /** In milliseconds since the epoch. */
  readonly startAt: number;
}

/** Only the entry retries; a guard never does. */
export class Attempts {
  /** Failed attempts that reached, or may have reached, an upstream instance. */
  #upstreamAttempts = 0;

  /** Failed attempts that certainly reached no upstream instance. */
  #undeliveredAttempts = 0;

  #tried = NONE_TRIED;

  /** Strongest verdict of all attempts so far, by `VERDICT_RANK`. */
  #verdict: Verdict = 'not-run';

  constructor(
    private readonly routed: RoutedRequest,
    private readonly body: Body,
    private readonly balancer: Balancer,
    private readonly budgets: RetryBudgets,
    private readonly clock: Clock,
  ) {}

  /** The endpoint for the first attempt; throws `no-endpoint` if there is none. */
  first(): EndpointStats {
    const { upstream, route, awayMs } = this.routed;
    const endpoint = this.balancer.first(upstream, route.name, awayMs);
    if (endpoint) return endpoint;
    const retryAt = this.clock.now() + NO_ENDPOINT_RETRY_MS;
    throw notRun('no-endpoint', `no endpoint serves upstream ${upstream}`, retryAt);
  }

  /** The attempt after a failure of `endpoint`; throws the final outcome if there is none. */
  next(endpoint: EndpointStats, outcome: OutcomeError): NextAttempt {
    this.#record(outcome);
    if (!this.#canSend(outcome)) throw this.#giveUp(outcome, 'not-sendable');
    const next = this.#alternativeTo(endpoint, outcome.reason);
    if (!next) throw this.#giveUp(outcome, 'no-other-endpoint');
    const { response, upstream, retryPercent, trace } = this.routed;
    const budget = this.budgets.of(upstream);
    const failed = this.#failedAttempt(outcome);
    const retry = budget.retry(failed, retryPercent);
    if (!retry) throw this.#giveUp(outcome, budget.denial(failed, retryPercent) ?? 'budget-spent');
    trace.add({
      event: 'resent',
      endpoint: next.member.instance,
      isFailover: retry.isFailover,
      startMs: Math.round(retry.startAt - this.clock.now()),
    });
    // Set on the response whatever its outcome: hops above must not retry a request retried here.
    if (!retry.isFailover) response.setHeader(RETRIED, '1');
    this.#tried = new Set(this.#tried).add(endpoint);
    return { endpoint: next, startAt: retry.startAt };
  }

  /** Whether a request that `endpoint` has not acknowledged could be sent to another endpoint. */
  canFailOverFrom(endpoint: EndpointStats): boolean {
    const { upstream, isRepeatable, route } = this.routed;
    const isAllowed =
      isRepeatable && this.body.isResendable && this.budgets.of(upstream).tokens >= 1;
    if (!isAllowed || this.#upstreamAttempts + 1 >= (route.maxAttempts ?? MAX_ATTEMPTS))
      return false;
    const tried = new Set(this.#tried).add(endpoint);
    return this.balancer.choose(upstream, tried) !== undefined;
  }

  /** Number of the current attempt, from 1. */
  get number(): number {
    return this.#upstreamAttempts + this.#undeliveredAttempts + 1;
  }

  #giveUp(outcome: OutcomeError, denial: string): OutcomeError {
    const { trace, upstream } = this.routed;
    const tokens = Math.floor(this.budgets.of(upstream).tokens);
    trace.add({ event: 'not-resent', denial, tokens });
    return this.#finalOutcome(outcome);
  }

  #record({ verdict, reason }: OutcomeError): void {
    if (isNotDelivered({ verdict, reason })) this.#undeliveredAttempts += 1;
    else this.#upstreamAttempts += 1;
    if (VERDICT_RANK[verdict] > VERDICT_RANK[this.#verdict]) this.#verdict = verdict;
  }

  #canSend({ reason }: OutcomeError): boolean {
    const { response } = this.routed;
    const isAwaited = !response.headersSent && !response.destroyed && reason !== 'cancelled';
    return isAwaited && this.body.isResendable;
  }

  #failedAttempt({ verdict, reason }: OutcomeError): FailedAttempt {
    const { isRepeatable, isRetriedElsewhere, deadline, route } = this.routed;
    return {
      maxAttempts: route.maxAttempts,
      verdict,
      reason,
      attempts: this.#upstreamAttempts,
      moves: this.#undeliveredAttempts,
      repeatable: isRepeatable,
      retriedElsewhere: isRetriedElsewhere,
      deadline,
    };
  }

  #alternativeTo(endpoint: EndpointStats, reason: string): EndpointStats | undefined {
    const tried = new Set(this.#tried).add(endpoint);
    const { upstream, targetAt, awayMs } = this.routed;
    if (reason === 'overloaded') {
      return this.balancer.chooseAlternative(upstream, tried, targetAt, awayMs > 0);
    }
    const other = this.balancer.choose(upstream, tried, awayMs);
    // A broken connection need not mean a broken endpoint, so the only endpoint is tried again.
    return other ?? (reason === 'connection' ? endpoint : undefined);
  }

  /** The last outcome with the strongest verdict: `not-run` is reported only if it holds for all attempts. */
  #finalOutcome(outcome: OutcomeError): OutcomeError {
    const verdict = this.#verdict;
    if (verdict === outcome.verdict) return outcome;
    const { message, reason, retryAt } = outcome;
    const retry = retryAt === undefined ? {} : { retryAt };
    return new OutcomeError(message, { verdict, reason, ...retry }, { cause: outcome });
  }
}

/** The attempts at one request: which endpoint is next, and when to give up. */
import { notRun, OutcomeError, type Verdict } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Balancer } from '../placement/balancer.js';
import { type Body } from './body.js';
import { type Experience } from '../placement/experience.js';
import { type Journey } from './journey.js';
import { RETRIED } from './headers.js';
import {
  type FailedAttempt,
  isUnoffered,
  MAX_ATTEMPTS,
  type RetryBudgets,
} from '../placement/retry_budget.js';

/** How long a caller is told to wait when nobody serves what it asks for, in milliseconds. */
const NO_ENDPOINT_MS = 1_000;
const NONE_TRIED: ReadonlySet<Experience> = new Set();
const STRENGTH: Record<Verdict, number> = { 'not-run': 0, 'may-have-run': 1, ran: 2 };

/** A further attempt. */
export interface Further {
  readonly endpoint: Experience;
  /** In milliseconds since the epoch. */
  readonly startAt: number;
}

/** This process is the one hop that retries; a guard never does. */
export class Attempts {
  /** Attempts that reached an upstream instance, or may have. */
  #offers = 0;

  /** Attempts that certainly reached none. */
  #moves = 0;

  #tried = NONE_TRIED;

  /** The strongest verdict of all attempts so far. */
  #verdict: Verdict = 'not-run';

  constructor(
    private readonly journey: Journey,
    private readonly body: Body,
    private readonly balancer: Balancer,
    private readonly budgets: RetryBudgets,
    private readonly clock: Clock,
  ) {}

  /** The endpoint to begin with. */
  first(): Experience {
    const { upstream, route, awayMs } = this.journey;
    const endpoint = this.balancer.first(upstream, route.name, awayMs);
    if (endpoint) return endpoint;
    const retryAt = this.clock.now() + NO_ENDPOINT_MS;
    throw notRun('no-endpoint', `nobody serves ${upstream}`, retryAt);
  }

  /** What to try after `endpoint` has failed; throws the outcome if there is nothing. */
  next(endpoint: Experience, outcome: OutcomeError): Further {
    this.#note(outcome);
    if (!this.#maySend(outcome)) throw this.#giveUp(outcome, 'not-sendable');
    const next = this.#another(endpoint, outcome.reason);
    if (!next) throw this.#giveUp(outcome, 'no-other-endpoint');
    const { response, upstream, retryPercent, trace } = this.journey;
    const budget = this.budgets.of(upstream);
    const failed = this.#failed(outcome);
    const retry = budget.retry(failed, retryPercent);
    if (!retry) throw this.#giveUp(outcome, budget.denial(failed, retryPercent) ?? 'budget-spent');
    trace.note({
      event: 'resent',
      endpoint: next.member.instance,
      isFailover: retry.isFailover,
      startMs: Math.round(retry.startAt - this.clock.now()),
    });
    // On the answer too, whatever it will be: hops above must not retry what was retried here.
    if (!retry.isFailover) response.setHeader(RETRIED, '1');
    this.#tried = new Set(this.#tried).add(endpoint);
    return { endpoint: next, startAt: retry.startAt };
  }

  /** Whether a request that nothing is heard of could be sent to another endpoint instead. */
  canMoveFrom(endpoint: Experience): boolean {
    const { upstream, isRepeatable, route } = this.journey;
    const isAllowed = isRepeatable && this.body.isWhole && this.budgets.of(upstream).tokens >= 1;
    if (!isAllowed || this.#offers + 1 >= (route.maxAttempts ?? MAX_ATTEMPTS)) return false;
    const tried = new Set(this.#tried).add(endpoint);
    return this.balancer.choose(upstream, tried) !== undefined;
  }

  /** Number of the attempt that is under way, from 1. */
  get number(): number {
    return this.#offers + this.#moves + 1;
  }

  #giveUp(outcome: OutcomeError, denial: string): OutcomeError {
    const { trace, upstream } = this.journey;
    const tokens = Math.floor(this.budgets.of(upstream).tokens);
    trace.note({ event: 'not-resent', denial, tokens });
    return this.#final(outcome);
  }

  #note({ verdict, reason }: OutcomeError): void {
    if (isUnoffered({ verdict, reason })) this.#moves += 1;
    else this.#offers += 1;
    if (STRENGTH[verdict] > STRENGTH[this.#verdict]) this.#verdict = verdict;
  }

  #maySend({ reason }: OutcomeError): boolean {
    const { response } = this.journey;
    const isAwaited = !response.headersSent && !response.destroyed && reason !== 'cancelled';
    return isAwaited && this.body.isWhole;
  }

  #failed({ verdict, reason }: OutcomeError): FailedAttempt {
    const { isRepeatable, isRetriedElsewhere, deadline, route } = this.journey;
    return {
      maxAttempts: route.maxAttempts,
      verdict,
      reason,
      attempts: this.#offers,
      moves: this.#moves,
      repeatable: isRepeatable,
      retriedElsewhere: isRetriedElsewhere,
      deadline,
    };
  }

  #another(endpoint: Experience, reason: string): Experience | undefined {
    const tried = new Set(this.#tried).add(endpoint);
    const { upstream, targetAt, awayMs } = this.journey;
    if (reason === 'overloaded') {
      return this.balancer.another(upstream, tried, targetAt, awayMs > 0);
    }
    const other = this.balancer.choose(upstream, tried, awayMs);
    // A connection that broke says little about the endpoint, if that is the only one.
    return other ?? (reason === 'connection' ? endpoint : undefined);
  }

  /** "Not run" may be said of the last attempt only if it holds for those before it too. */
  #final(outcome: OutcomeError): OutcomeError {
    const verdict = this.#verdict;
    if (verdict === outcome.verdict) return outcome;
    const { message, reason, retryAt } = outcome;
    const when = retryAt === undefined ? {} : { retryAt };
    return new OutcomeError(message, { verdict, reason, ...when }, { cause: outcome });
  }
}

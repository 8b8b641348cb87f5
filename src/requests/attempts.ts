/** The attempts at one request: which endpoint is next, and when to give up. */
import { OutcomeError, type Verdict } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Balancer } from './balancer.js';
import { type Body } from './body.js';
import { type Experience } from './experience.js';
import { type Journey } from './journey.js';
import { notRun } from './refusal.js';

const MAX_ATTEMPTS = 3;
/** How long a caller is told to wait when nobody serves what it asks for, in milliseconds. */
const NO_ENDPOINT_MS = 1_000;
const NONE_TRIED: ReadonlySet<Experience> = new Set();
const STRENGTH: Record<Verdict, number> = { 'not-run': 0, 'may-have-run': 1, ran: 2 };

/** This process is the one hop that retries; a guard never does. */
export class Attempts {
  #count = 1;

  #tried = NONE_TRIED;

  /** The strongest verdict of all attempts so far. */
  #verdict: Verdict = 'not-run';

  constructor(
    private readonly journey: Journey,
    private readonly body: Body,
    private readonly balancer: Balancer,
    private readonly clock: Clock,
  ) {}

  /** The endpoint to begin with. */
  first(): Experience {
    const { upstream } = this.journey.route;
    const endpoint = this.balancer.choose(upstream, NONE_TRIED);
    if (endpoint) return endpoint;
    const retryAt = this.clock.now() + NO_ENDPOINT_MS;
    throw notRun('no-endpoint', `nobody serves ${upstream}`, retryAt);
  }

  /** The endpoint to try after `endpoint` has failed; throws the outcome if there is none. */
  next(endpoint: Experience, outcome: OutcomeError): Experience {
    this.#note(outcome.verdict);
    const next = this.#mayRepeat(outcome) ? this.#another(endpoint, outcome.reason) : undefined;
    if (!next) throw this.#final(outcome);
    this.#tried = new Set(this.#tried).add(endpoint);
    this.#count += 1;
    return next;
  }

  /** Whether an answer by which `endpoint` shed work should be dropped and another one asked. */
  wouldReplace(endpoint: Experience, shed: OutcomeError): boolean {
    return this.#mayRepeat(shed) && this.#another(endpoint, shed.reason) !== undefined;
  }

  #note(verdict: Verdict): void {
    if (STRENGTH[verdict] > STRENGTH[this.#verdict]) this.#verdict = verdict;
  }

  #mayRepeat({ verdict, reason }: OutcomeError): boolean {
    const { response, isRepeatable, deadline } = this.journey;
    if (this.#count >= MAX_ATTEMPTS || !this.body.isWhole) return false;
    if (response.headersSent || response.destroyed || reason === 'cancelled') return false;
    return (verdict === 'not-run' || isRepeatable) && this.clock.now() < deadline;
  }

  #another(endpoint: Experience, reason: string): Experience | undefined {
    const tried = new Set(this.#tried).add(endpoint);
    const other = this.balancer.choose(this.journey.route.upstream, tried);
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

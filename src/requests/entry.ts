/** Takes requests from callers and brings each to a process beside an upstream. */
import {
  Agent,
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import { pipeline } from 'node:stream/promises';
import { type Configuration } from '../configuration/configuration.js';
import { type Member, OutcomeError, type Route } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Balancer } from './balancer.js';
import { exchange } from './exchange.js';
import {
  CALLER_TIMEOUT,
  CLAIM,
  endToEnd,
  IDEMPOTENCY_KEY,
  PRIORITY,
  REASON,
  REMAINING,
  REQUEST_ID,
  RETRIED,
  UPSTREAM,
  VERDICT,
} from './headers.js';
import { asOutcome, refuse } from './refusal.js';
import { type Quarantine } from './quarantine.js';
import { headFingerprint } from './request_fingerprint.js';
import { RetryBudgets } from './retry_budget.js';
import { isRepeatable, routeOf, type Target } from './router.js';

/** Share of retries for routes without a limit, in percent. */
const DEFAULT_RETRY_PERCENT = 10;
const MAX_SOCKETS_PER_GUARD = 64;

/** The request's own view of where it goes; it keeps the version it began with. */
interface Journey {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly route: Route;
  /** Whether it may run twice. */
  readonly repeatable: boolean;
  readonly retryPercent: number;
  readonly deadline: number;
  readonly gone: AbortSignal;
  /** Whether a hop above or below has retried it. */
  retriedElsewhere: boolean;
}

export class Entry implements AsyncDisposable {
  readonly server: Server;

  readonly #agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS_PER_GUARD });

  readonly #budgets: RetryBudgets;

  /** Set before the first request; the guards check again. */
  quarantine: Quarantine | undefined;

  constructor(
    private readonly configuration: () => Configuration,
    private readonly isReady: () => boolean,
    private readonly balancer: Balancer,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.#budgets = new RetryBudgets(clock, random);
    this.server = createServer((request, response) => void this.#serve(request, response));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.server.close();
    this.#agent.destroy();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.#carry(this.#plan(request, response));
    } catch (error) {
      refuse(response, asOutcome(error), this.clock.now());
    }
  }

  #plan(request: IncomingMessage, response: ServerResponse): Journey {
    if (!this.isReady()) throw notRun('not-ready', 'this process holds no configuration yet');
    const configuration = this.configuration();
    const route = routeOf(configuration, targetOf(request));
    if (!route) throw notRun('no-route', `no route for ${request.method} ${request.url}`);
    if (route.requireKey && request.headers[IDEMPOTENCY_KEY] === undefined) {
      throw notRun('key-required', 'this route insists on an Idempotency-Key');
    }
    if (this.quarantine && !this.quarantine.isIdle) {
      // Those that only their body gives away are refused by the guard.
      this.quarantine.check(headFingerprint(route.upstream, request));
    }
    const asked = Number(request.headers[CALLER_TIMEOUT] ?? route.timeoutMs);
    const timeoutMs = Math.min(route.timeoutMs, asked > 0 ? asked : route.timeoutMs);
    const gone = new AbortController();
    response.once('close', () => gone.abort());
    const deadline = this.clock.now() + timeoutMs;
    const limit = route.limit === undefined ? undefined : configuration.find('limit', route.limit);
    return {
      request,
      response,
      route,
      repeatable: isRepeatable(route, request.method ?? 'GET'),
      retryPercent: limit?.retryPercent ?? DEFAULT_RETRY_PERCENT,
      deadline,
      gone: gone.signal,
      retriedElsewhere: request.headers[RETRIED] !== undefined,
    };
  }

  async #carry(journey: Journey): Promise<void> {
    const { upstream } = journey.route;
    const tried = new Set<string>();
    for (let failure: OutcomeError | undefined; ;) {
      const member = this.balancer.choose(upstream, tried);
      if (!member) throw failure ?? notRun('no-endpoint', `nobody serves ${upstream}`);
      tried.add(member.instance);
      try {
        await this.#attempt(journey, member);
        this.#budgets.of(upstream).credit(journey.retryPercent);
        return;
      } catch (error) {
        failure = asOutcome(error);
        await this.#beforeRetry(journey, failure, tried.size);
      }
    }
  }

  /** Resolves when the request may go out again; throws the failure if it must not. */
  async #beforeRetry(journey: Journey, failure: OutcomeError, attempts: number): Promise<void> {
    const { request, response, repeatable, retriedElsewhere, deadline, retryPercent } = journey;
    if (request.readableDidRead || response.headersSent) throw failure;
    const { verdict, reason } = failure;
    const failed = { verdict, reason, attempts, repeatable, retriedElsewhere, deadline };
    const retry = this.#budgets.of(journey.route.upstream).retry(failed, retryPercent);
    if (!retry) throw failure;
    // On the answer too, whatever it will be: hops above must not retry what was retried here.
    if (!retry.isFailover) response.setHeader(RETRIED, '1');
    await this.clock.sleepUntil(retry.startAt, journey.gone);
  }

  async #attempt(journey: Journey, member: Member): Promise<void> {
    const { request, response, deadline, gone } = journey;
    const startedAt = this.clock.now();
    let tookMs: number | undefined;
    this.balancer.begin(member.instance);
    try {
      const answer = await exchange(
        {
          agent: this.#agent,
          host: member.host,
          port: member.guardPort,
          method: request.method ?? 'GET',
          path: request.url ?? '/',
          headers: this.#inward(journey),
          body: hasBody(request) ? request : undefined,
          deadline,
          cancelled: gone,
        },
        this.clock,
      );
      tookMs = this.clock.now() - startedAt;
      if (answer.headers[RETRIED] !== undefined) journey.retriedElsewhere = true;
      if (answer.headers[VERDICT] === 'not-run') throw await refusedBy(answer);
      response.writeHead(answer.statusCode ?? 502, endToEnd(answer.headers, true));
      await pipeline(answer, response);
    } finally {
      this.balancer.end(member.instance, tookMs);
    }
  }

  #inward(journey: Journey): Record<string, string | string[]> {
    const { request, response, route, deadline, repeatable, retriedElsewhere } = journey;
    const isClaimed = !repeatable && request.headers[IDEMPOTENCY_KEY] !== undefined;
    const isRetried = retriedElsewhere || response.hasHeader(RETRIED);
    return {
      ...endToEnd(request.headers, false),
      [UPSTREAM]: route.upstream,
      [REQUEST_ID]: this.random.nonce(),
      [REMAINING]: String(Math.max(1, Math.floor(deadline - this.clock.now()))),
      [PRIORITY]: String(route.priority),
      ...(isClaimed && { [CLAIM]: route.name }),
      ...(isRetried && { [RETRIED]: '1' }),
    };
  }
}

function targetOf(request: IncomingMessage): Target {
  const { method = 'GET', url = '/', headers } = request;
  const [path = '/'] = url.split('?', 1);
  return { method, path, headers, host: (headers.host ?? '').replace(/:\d+$/, '') };
}

function hasBody(request: IncomingMessage): boolean {
  const { headers } = request;
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

function notRun(reason: string, message: string): OutcomeError {
  return new OutcomeError(message, { verdict: 'not-run', reason });
}

async function refusedBy(answer: IncomingMessage): Promise<OutcomeError> {
  answer.resume();
  const reason = String(answer.headers[REASON] ?? 'refused');
  return notRun(reason, `refused by the process beside the upstream: ${reason}`);
}

/** The proxy for callers: routes each request and forwards it to the guard of an upstream instance. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Configuration } from '../configuration/configuration.js';
import { asOutcome, notRun, OutcomeError } from '../contracts.js';
import { RequestLog, silentRequestLog, type Trace } from '../logs/request_log.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { Attempts } from './attempts.js';
import { type Balancer } from '../placement/balancer.js';
import { type Body, EmptyBody, hasBody, readBody } from './body.js';
import { ConnectionPool } from './connection_pool.js';
import { type Dialect } from './dialect.js';
import { Exchange } from './exchange.js';
import { type EndpointStats } from '../placement/endpoint_stats.js';
import {
  responseHeaders,
  headerOf,
  LOAD,
  EXCHANGE_ID,
  LEAVING,
  RATE,
  RETRIED,
  SHED,
  CALLER_VISIBLE_HEADERS,
} from './headers.js';
import { handoverHeaders } from './handover.js';
import { SERVER_OPTIONS, ClientErrors } from './client_errors.js';
import { type RoutedRequest, routeRequest } from './routed_request.js';
import { parseLoad } from '../admission/load.js';
import { Uplink } from '../admission/uplink.js';
import { type Quarantine } from '../quarantine/quarantine.js';
import { type Quota, UnlimitedQuota } from '../quota/quota.js';
import { refuse } from './refusal.js';
import { parseGuardRefusal } from './guard_refusal.js';
import { headFingerprint } from '../quarantine/request_fingerprint.js';
import { DEFAULT_DIALECT } from './default_dialect.js';
import { DisconnectCheck } from './disconnect_check.js';
import { KnownStatements } from './known_statements.js';
import { withRetryTime } from './retry_time.js';
import {
  type RetrySettings,
  type RetryBudget,
  RetryBudgets,
  DEFAULT_RETRY_SETTINGS,
} from '../placement/retry_budget.js';
import { ReturningCallers } from '../placement/returning_callers.js';
import { Split } from '../placement/split.js';
import { RequestTracker } from './request_tracker.js';
import { AnswerSizes } from '../placement/answer_sizes.js';

const MAX_SOCKETS_PER_GUARD = 256;
/** Time after the deadline for the guard's own refusal to arrive, in milliseconds. */
const DEADLINE_GRACE_MS = 50;
/**
 * A guard acknowledges a request at once, with `102 Processing`. A lost packet is retransmitted after
 * 200 ms, so a longer silence means a network partition or a stalled process.
 */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 300;
const SERVER_ERROR = 500;
export class Entry implements AsyncDisposable {
  readonly server: Server;

  readonly tracker: RequestTracker;

  /** Set before the first request; guards check it again, including the body. */
  quarantine: Quarantine | undefined;

  /** Set before the first request. */
  requestLog: RequestLog;

  /** Set before the first request; without it, teams have no quota. */
  quota: Quota = new UnlimitedQuota();

  readonly #connections: ConnectionPool;

  readonly #clientErrors: ClientErrors;

  readonly #budgets: RetryBudgets;

  /** Prefix that makes the ids unique across processes. */
  readonly #nonce: string;

  #issuedIds = 0;

  readonly #split = new Split();

  readonly #returningCallers = new ReturningCallers();

  readonly #answerSizes = new AnswerSizes();

  readonly #knownStatements = new KnownStatements();

  /** Internal headers forwarded to callers on responses. */
  readonly #callerVisibleHeaders: ReadonlySet<string>;

  constructor(
    private readonly configuration: () => Configuration,
    private readonly isReady: () => boolean,
    private readonly balancer: Balancer,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly dialect: Dialect = DEFAULT_DIALECT,
    private readonly retrySettings: RetrySettings = DEFAULT_RETRY_SETTINGS,
    private readonly uplink: Uplink = new Uplink(clock),
    private readonly disconnectCheck = new DisconnectCheck(clock),
  ) {
    this.requestLog = silentRequestLog(clock);
    this.#callerVisibleHeaders = new Set([
      ...CALLER_VISIBLE_HEADERS,
      ...dialect.allowedFromUpstreams,
    ]);
    this.#budgets = new RetryBudgets(clock, random, retrySettings.allowance);
    this.#nonce = random.nonce();
    this.#connections = new ConnectionPool(clock, MAX_SOCKETS_PER_GUARD);
    const serve = (request: IncomingMessage, response: ServerResponse) =>
      void this.#serve(request, response);
    this.server = createServer(SERVER_OPTIONS, serve);
    this.server.on('checkContinue', serve);
    this.tracker = new RequestTracker(this.server, clock);
    this.#clientErrors = new ClientErrors(this.server);
  }

  /** Retry budgets by upstream. */
  get budgets(): ReadonlyMap<string, RetryBudget> {
    return this.#budgets.all;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.tracker.destroyConnections();
    this.#connections.destroy();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!this.tracker.track(response)) return;
    this.#clientErrors.track(request, response);
    const id = this.dialect.requestIdOf(request.headers) ?? this.#nextId();
    const trace = this.requestLog.begin(id);
    let routed: RoutedRequest | undefined;
    try {
      routed = this.#route(request, response, trace);
      await this.#takeQuota(routed);
      const body = hasBody(request) ? await this.#readBody(routed) : new EmptyBody(request.method);
      await this.#tryEndpoints(routed, body);
      trace.answered('entry-ended', response);
    } catch (error) {
      const now = this.clock.now();
      const outcome = withRetryTime(asOutcome(error), now, this.random);
      const isCut = response.headersSent;
      if (routed?.isCounted && outcome.verdict === 'not-run') this.quota.refund(routed.team!);
      if (routed?.caller) this.#returningCallers.recordRefusal(routed.caller, routed.firstAt);
      refuse(response, outcome, now, this.dialect);
      trace.failed('entry-ended', response, outcome, isCut);
    }
  }

  /** Routes a request that has arrived; throws the refusal if it cannot be served. */
  #route(request: IncomingMessage, response: ServerResponse, trace: Trace): RoutedRequest {
    if (!this.isReady()) throw notRun('not-ready', 'this process has no configuration yet');
    const now = this.clock.now();
    const configuration = this.configuration();
    const context = {
      dialect: this.dialect,
      split: this.#split,
      returningCallers: this.#returningCallers,
      answerSizes: this.#answerSizes,
      retryPercent: this.retrySettings.percent,
      trace,
    };
    const routed = routeRequest(request, response, configuration, now, context);
    const { target, route, upstream, deadline, firstAt, targetAt, isRepeatable } = routed;
    trace.routed({
      event: 'routed',
      method: target.method,
      path: target.path,
      route: route.name,
      upstream,
      ...(routed.team && { team: routed.team.name }),
      version: configuration.number,
      leftMs: Math.round(deadline - now),
      targetMs: Math.round(targetAt - now),
      ...(firstAt < now && { waitedMs: Math.round(now - firstAt) }),
      isRepeatable,
    });
    this.#checkQuarantine(routed);
    return routed;
  }

  /** Throws `quota` if the team of the caller is at its limit. */
  async #takeQuota(routed: RoutedRequest): Promise<void> {
    const { team } = routed;
    if (!team) return;
    const answer = this.quota.take(team);
    if (answer) await answer;
    routed.isCounted = true;
  }

  /** Checks the head only: requests quarantined by their body are refused by the guard. */
  #checkQuarantine({ request, upstream, target }: RoutedRequest): void {
    const { quarantine } = this;
    if (!quarantine || quarantine.isIdle) return;
    const { method, url } = target;
    quarantine.check(headFingerprint(upstream, { method, url, headers: request.headers }));
  }

  async #readBody({ request, response, route, deadline }: RoutedRequest): Promise<Body> {
    const { maxBodyBytes } = route;
    const isTooLarge = Number(request.headers['content-length'] ?? 0) > maxBodyBytes;
    if (request.headers.expect !== undefined && !isTooLarge) response.writeContinue();
    const body = await readBody(request, maxBodyBytes, deadline - this.clock.now());
    this.#clientErrors.markHandedOver(request);
    return body;
  }

  /** Tries one endpoint after the other until one responds or `Attempts` allows no further attempt. */
  async #tryEndpoints(routed: RoutedRequest, body: Body): Promise<void> {
    const attempts = new Attempts(routed, body, this.balancer, this.#budgets, this.clock);
    let endpoint = attempts.first();
    while (true) {
      const failure = await this.#attempt(routed, body, endpoint, attempts);
      if (!failure) return;
      const nextAttempt = attempts.next(endpoint, failure);
      if (nextAttempt.startAt > this.clock.now()) await this.clock.sleepUntil(nextAttempt.startAt);
      endpoint = nextAttempt.endpoint;
    }
  }

  /** Resolves to the failure, or to undefined once the caller has its response. */
  async #attempt(
    routed: RoutedRequest,
    body: Body,
    endpoint: EndpointStats,
    attempts: Attempts,
  ): Promise<OutcomeError | undefined> {
    const startedAt = this.clock.now();
    const id = this.#nextId();
    endpoint.inFlight += 1;
    let failure: OutcomeError | undefined;
    try {
      failure = await this.disconnectCheck.runIfConnected(routed.response, () =>
        this.#sendTo(routed, body, endpoint, attempts, id),
      );
    } catch (error) {
      failure = asOutcome(error);
      this.balancer.recordRefusal(endpoint, failure, undefined);
    } finally {
      endpoint.inFlight -= 1;
    }
    if (failure) this.#noteFailed(routed, endpoint, id, failure, this.clock.now() - startedAt);
    return failure;
  }

  async #sendTo(
    routed: RoutedRequest,
    body: Body,
    endpoint: EndpointStats,
    attempts: Attempts,
    id: string,
  ): Promise<OutcomeError | undefined> {
    const startedAt = this.clock.now();
    this.#noteSent(routed, endpoint, id, attempts.number);
    endpoint.recordSent(startedAt);
    const exchange = this.#exchange(routed, body, endpoint, id, () => {
      this.balancer.recordRefusal(endpoint, unacknowledged(), undefined);
      return !this.tracker.isShuttingDown && attempts.canFailOverFrom(endpoint);
    });
    const answer = await exchange.send();
    if (answer.headers[EXCHANGE_ID] !== id) throw exchange.abortMismatched();
    const now = this.clock.now();
    const load = parseLoad(headerOf(answer, LOAD), headerOf(answer, RATE));
    this.#knownStatements.record(endpoint.member.instance, answer, load);
    if (headerOf(answer, LEAVING) !== undefined) this.balancer.recordLeaving(endpoint);
    const refusal = parseGuardRefusal(answer, now);
    if (answer.headers[RETRIED] !== undefined) routed.isRetriedElsewhere = true;
    if (refusal) {
      exchange.discard(answer);
      this.balancer.recordRefusal(endpoint, refusal, load);
      return refusal;
    }
    const status = answer.statusCode ?? SERVER_ERROR;
    this.balancer.recordAnswer(endpoint, now - startedAt, load, status >= SERVER_ERROR);
    if (answer.headers[SHED] !== undefined) this.balancer.recordShed(endpoint);
    this.#budgets.of(routed.upstream).credit(routed.retryPercent);
    const length = Number(answer.headers['content-length'] ?? 0);
    this.#answerSizes.record(routed.route.name, length);
    routed.response.writeHead(status, responseHeaders(answer, this.#callerVisibleHeaders));
    const bytes = await exchange.relay(answer, routed.response, this.uplink.schedule(length));
    routed.trace.relayed(bytes, this.clock.now() - now);
    return undefined;
  }

  #exchange(
    routed: RoutedRequest,
    body: Body,
    endpoint: EndpointStats,
    id: string,
    onUnacknowledged: () => boolean,
  ): Exchange {
    const { member } = endpoint;
    const { response, target, deadline, isRepeatable } = routed;
    const headers = handoverHeaders(routed, id, this.dialect, this.clock);
    headers.push(...this.#knownStatements.headersFor(member.instance));
    return new Exchange(
      {
        connections: this.#connections,
        host: member.host,
        port: member.guardPort,
        method: target.method,
        path: target.url,
        headers,
        body,
        deadline: deadline + DEADLINE_GRACE_MS,
        isRepeatable,
        acknowledgementTimeoutMs: ACKNOWLEDGEMENT_TIMEOUT_MS,
        onUnacknowledged,
        caller: response,
      },
      this.clock,
    );
  }

  #noteSent(
    { trace }: RoutedRequest,
    endpoint: EndpointStats,
    exchange: string,
    attempt: number,
  ): void {
    const { instance, dataCentre } = endpoint.member;
    const snapshot = this.balancer.snapshotOf(endpoint);
    trace.add({ event: 'sent', exchange, endpoint: instance, dataCentre, attempt, ...snapshot });
  }

  #noteFailed(
    { trace }: RoutedRequest,
    { member }: EndpointStats,
    exchange: string,
    { verdict, reason, message }: OutcomeError,
    tookMs: number,
  ): void {
    trace.add({
      event: 'attempt-failed',
      exchange,
      endpoint: member.instance,
      verdict,
      reason,
      message,
      tookMs: Math.round(tookMs),
    });
  }

  #nextId(): string {
    this.#issuedIds += 1;
    return `${this.#nonce}-${this.#issuedIds}`;
  }
}

function unacknowledged(): OutcomeError {
  const props = { verdict: 'may-have-run', reason: 'unacknowledged' } as const;
  return new OutcomeError(`no acknowledgement within ${ACKNOWLEDGEMENT_TIMEOUT_MS} ms`, props);
}

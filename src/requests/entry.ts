/** The proxy for callers: routes each request and forwards it to the guard of an upstream instance. */
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Configuration } from '../configuration/configuration.js';
import { asOutcome, notRun } from '../contracts.js';
import { RequestLog, silentRequestLog, type Trace } from '../logs/request_log.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { Attempts } from './attempts.js';
import { type Balancer } from '../placement/balancer.js';
import { type Body, EmptyBody, hasBody, readBody } from './body.js';
import { type Dialect } from './dialect.js';
import { SERVER_OPTIONS, ClientErrors } from './client_errors.js';
import { type RoutedRequest, routeRequest } from './routed_request.js';
import { Uplink } from '../admission/uplink.js';
import { type Quarantine } from '../quarantine/quarantine.js';
import { type Quota, UnlimitedQuota } from '../quota/quota.js';
import { refuse } from './refusal.js';
import { GuardForwarder } from './guard_forwarder.js';
import { headFingerprint } from '../quarantine/request_fingerprint.js';
import { DEFAULT_DIALECT } from './default_dialect.js';
import { DisconnectCheck } from './disconnect_check.js';
import { withRetryTime } from './retry_time.js';
import {
  type RetrySettings,
  type RetryBudget,
  RetryBudgets,
  DEFAULT_RETRY_SETTINGS,
} from '../placement/retry_budget.js';
import { ReturningCallers } from '../placement/returning_callers.js';
import { Split } from '../placement/split.js';
import { requestListener } from './request_listener.js';
import { RequestTracker } from './request_tracker.js';
import { AnswerSizes } from '../placement/answer_sizes.js';

export class Entry implements AsyncDisposable {
  readonly server: Server;

  readonly tracker: RequestTracker;

  /** Set before the first request; guards check it again, including the body. */
  quarantine: Quarantine | undefined;

  /** Set before the first request. */
  requestLog: RequestLog;

  /** Set before the first request; without it, teams have no quota. */
  quota: Quota = new UnlimitedQuota();

  readonly #forwarder: GuardForwarder;

  readonly #clientErrors: ClientErrors;

  readonly #budgets: RetryBudgets;

  /** Prefix that makes the ids unique across processes. */
  readonly #nonce: string;

  #issuedIds = 0;

  readonly #split = new Split();

  readonly #returningCallers = new ReturningCallers();

  readonly #answerSizes = new AnswerSizes();

  constructor(
    private readonly configuration: () => Configuration,
    private readonly isReady: () => boolean,
    private readonly balancer: Balancer,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly dialect: Dialect = DEFAULT_DIALECT,
    private readonly retrySettings: RetrySettings = DEFAULT_RETRY_SETTINGS,
    uplink: Uplink = new Uplink(clock),
    disconnectCheck = new DisconnectCheck(clock),
  ) {
    this.requestLog = silentRequestLog(clock);
    this.#budgets = new RetryBudgets(clock, random, retrySettings.allowance);
    this.#nonce = random.nonce();
    const serve = requestListener('entry', (request, response) => this.#serve(request, response));
    this.#clientErrors = ClientErrors.serverOf(serve, SERVER_OPTIONS);
    this.server = this.#clientErrors.server;
    this.tracker = new RequestTracker(this.server, clock);
    this.#forwarder = new GuardForwarder({
      balancer,
      budgets: this.#budgets,
      answerSizes: this.#answerSizes,
      clock,
      dialect,
      uplink,
      disconnectCheck,
      isShuttingDown: () => this.tracker.isShuttingDown,
      nextId: () => this.#nextId(),
    });
  }

  /** Retry budgets by upstream. */
  get budgets(): ReadonlyMap<string, RetryBudget> {
    return this.#budgets.all;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.tracker.destroyConnections();
    this.#forwarder[Symbol.dispose]();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!this.tracker.track(response)) return;
    const id = this.dialect.requestIdOf(request.headers) ?? this.#nextId();
    const trace = this.requestLog.begin(id, response);
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
    this.#checkShutdown(routed);
    this.#checkQuarantine(routed);
    return routed;
  }

  /** Throws `stopping` for a request that the end of this process might cut while it runs. */
  #checkShutdown({ deadline }: RoutedRequest): void {
    if (this.tracker.canFinish(deadline)) return;
    const now = this.clock.now();
    throw notRun('stopping', 'this process stops before the request has to end', now);
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
    const message = { method, url, headers: request.headers };
    quarantine.check(headFingerprint(upstream, message, this.dialect.ownCaller));
  }

  async #readBody(routed: RoutedRequest): Promise<Body> {
    const { request, response, route, deadline, hasTeams } = routed;
    const { maxBodyBytes } = route;
    const isTooLarge = Number(request.headers['content-length'] ?? 0) > maxBodyBytes;
    if (request.headers.expect !== undefined && !isTooLarge) response.writeContinue();
    const body = await readBody(request, {
      maxBytes: maxBodyBytes,
      timeoutMs: deadline - this.clock.now(),
      dropsCredentials: hasTeams,
    });
    this.#clientErrors.markHandedOver(request);
    return body;
  }

  /** Tries one endpoint after the other until one responds or `Attempts` allows no further attempt. */
  async #tryEndpoints(routed: RoutedRequest, body: Body): Promise<void> {
    const attempts = new Attempts(routed, body, this.balancer, this.#budgets, this.clock);
    let endpoint = attempts.first();
    while (true) {
      const failure = await this.#forwarder.send(routed, body, endpoint, attempts);
      if (!failure) return;
      const nextAttempt = attempts.next(endpoint, failure);
      if (nextAttempt.startAt > this.clock.now()) await this.clock.sleepUntil(nextAttempt.startAt);
      endpoint = nextAttempt.endpoint;
    }
  }

  #nextId(): string {
    this.#issuedIds += 1;
    return `${this.#nonce}-${this.#issuedIds}`;
  }
}

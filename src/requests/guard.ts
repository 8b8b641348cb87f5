/** The proxy beside an upstream instance: all requests to that instance pass through it. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Readable } from 'node:stream';
import { Configuration } from '../configuration/configuration.js';
import { asOutcome, notRun } from '../contracts.js';
import { type RequestLog, silentRequestLog } from '../logs/request_log.js';
import { type Clock } from '../runtime/clock.js';
import { type Body, EmptyBody, hasBody, PeekedBody, StreamedBody } from './body.js';
import { type Claims } from '../claims/claims.js';
import { ConnectionPool } from './connection_pool.js';
import { type Dialect } from './dialect.js';
import { Exchange } from './exchange.js';
import {
  responseHeaders,
  CLAIM,
  headerOf,
  IDEMPOTENCY_KEY,
  LOAD,
  REPEATABLE,
  EXCHANGE_ID,
  requestHeaders,
  RETRIED,
  RETRY_AFTER,
  ROUTE,
  SHED,
  UPSTREAM,
  VERDICT,
} from './headers.js';
import {
  type GuardRequest,
  guardRequestOf,
  type AnnouncedEndpoint,
  type Arrival,
} from './guard_request.js';
import { ConcurrencyLimiter, type JobResult } from '../admission/concurrency_limiter.js';
import { type Load, formatLoad } from '../admission/load.js';
import { type Reservation, Uplink } from '../admission/uplink.js';
import { type CrashDetector } from '../quarantine/crash_detector.js';
import { AnswerSizes } from '../placement/answer_sizes.js';
import { type HeldClaim } from '../claims/held_claim.js';
import { runOnce } from '../claims/once.js';
import { relayAndRecord } from '../claims/outcome.js';
import { type Observer, type ObservedAnswer } from '../rollout/observer.js';
import { DEFAULT_DIALECT } from './default_dialect.js';
import { DisconnectCheck } from './disconnect_check.js';
import { type InstanceRun } from '../membership/instance_run.js';
import { InstanceStatements } from './instance_statements.js';
import { refuse } from './refusal.js';
import { RequestTracker } from './request_tracker.js';

/** Most connections to the upstream instance, which accepts about 100 in total. */
const MAX_CONNECTIONS = 100;
const DEFAULT_SLOTS = 20;
/** Longer than the idle timeout of entries, so that no connection is closed while a request is sent. */
const KEEP_ALIVE_MS = 75_000;
const SERVICE_UNAVAILABLE = 503;
const TOO_MANY_REQUESTS = 429;
const SERVER_ERROR = 500;

export class Guard implements AsyncDisposable {
  readonly server: Server;

  readonly limit: ConcurrencyLimiter;

  readonly tracker: RequestTracker;

  announced: AnnouncedEndpoint | undefined;

  /** Set before the first request; without it, requests with an idempotency key are refused. */
  claims: Claims | undefined;

  /** Set before the first request; without it, no crash is detected and no request quarantined. */
  crashDetector: CrashDetector | undefined;

  /** Set before the first request. */
  requestLog: RequestLog;

  /** Set before the first request; without it, no results are counted and no version is shut out. */
  rolloutObserver: Observer | undefined;

  /** Called when the upstream instance refuses a connection: nothing listens there any more. */
  onConnectionRefused: () => void = () => {};

  /** Called when the upstream instance has stated in an answer that it leaves. */
  onLeaving: (run: InstanceRun) => void = () => {};

  /** The configuration in force, in which the limits of routes are looked up. */
  configuration = () => Configuration.empty;

  readonly #connections: ConnectionPool;

  readonly #answerSizes = new AnswerSizes();

  readonly #statements: InstanceStatements;

  /** Whether this process is stopping. */
  #isShuttingDown = false;

  constructor(
    private readonly clock: Clock,
    private readonly dialect: Dialect = DEFAULT_DIALECT,
    private readonly uplink: Uplink = new Uplink(clock),
    private readonly disconnectCheck = new DisconnectCheck(clock),
  ) {
    this.limit = new ConcurrencyLimiter(clock, DEFAULT_SLOTS);
    this.#statements = new InstanceStatements(dialect, this.limit);
    this.#statements.onLeaving = (run) => {
      this.#updateDraining();
      this.onLeaving(run);
    };
    this.requestLog = silentRequestLog(clock);
    this.#connections = new ConnectionPool(clock, MAX_CONNECTIONS);
    const serve = (request: IncomingMessage, response: ServerResponse) =>
      void this.#serve(request, response);
    this.server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0 }, serve);
    this.server.on('checkContinue', serve);
    this.tracker = new RequestTracker(this.server, clock);
  }

  /** Applies an announcement of the upstream instance. */
  announce(announced: AnnouncedEndpoint): void {
    const before = this.announced;
    this.announced = announced;
    this.limit.slots = announced.slots;
    this.#statements.announced = announced;
    this.#updateDraining();
    const wasReady = before?.state === 'ready' || before?.state === 'draining';
    const isOther = before?.port !== announced.port || before.host !== announced.host;
    if (announced.state === 'ready' && (!wasReady || isOther)) {
      this.limit.restart(announced.coldMs === 0);
    }
  }

  /** The load reported to entries. */
  get load(): Load {
    return { ...this.limit.load, leavingMs: Math.round(this.uplink.backlogMs) };
  }

  get isShuttingDown(): boolean {
    return this.#isShuttingDown;
  }

  /** Starts the shutdown of this process: new and waiting requests are refused. */
  beginShutdown(): void {
    this.#isShuttingDown = true;
    this.#updateDraining();
    this.tracker.beginShutdown();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.tracker.destroyConnections();
    this.#connections.destroy();
  }

  #updateDraining(): void {
    const isAnnounced = this.announced?.state === 'draining';
    this.limit.isDraining = this.#isShuttingDown || isAnnounced || this.#statements.isLeaving;
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!this.tracker.track(response)) return;
    response.writeProcessing();
    const exchange = headerOf(request, EXCHANGE_ID) ?? '';
    const trace = this.requestLog.begin(this.dialect.requestIdOf(request.headers) ?? exchange);
    try {
      const guardRequest = this.#admit({ request, response, trace, at: this.clock.now() });
      // Checked before it takes a slot, which would be idle during the check.
      await this.disconnectCheck.runIfConnected(response, () => this.#handle(guardRequest));
      trace.answered('guard-ended', response, this.#hopState(exchange));
    } catch (error) {
      if (isConnectionRefused(error)) this.onConnectionRefused();
      const isCut = response.headersSent;
      if (!isCut) this.#setExchangeHeaders(request, response);
      const outcome = asOutcome(error);
      refuse(response, outcome, this.clock.now());
      trace.failed('guard-ended', response, outcome, isCut, this.#hopState(exchange));
    }
  }

  /**
   * Parses a request, and throws the refusal if it cannot be served. That needs no check of its
   * caller, which takes long in a process that lags: the refusal would come too late for the entry to
   * try another endpoint.
   */
  #admit(arrival: Arrival): GuardRequest {
    const guardRequest = this.#parseRequest(arrival);
    const isClaimed = headerOf(arrival.request, CLAIM) !== undefined;
    // A claimed request may have an outcome already, and needs no slot then.
    if (!isClaimed) this.limit.check(guardRequest);
    return guardRequest;
  }

  async #handle(guardRequest: GuardRequest): Promise<void> {
    const { request, response, announced } = guardRequest;
    // The instance may have begun to drain during the check.
    this.#requireEndpoint(announced.upstream);
    const route = headerOf(request, CLAIM);
    const peeked = await this.crashDetector?.admit(announced.upstream, request, response);
    if (route === undefined) await this.#run(guardRequest, peeked?.body ?? request);
    else await this.#runOnce(guardRequest, route);
  }

  async #run(guardRequest: GuardRequest, source: Readable, claim?: HeldClaim): Promise<void> {
    const { crashDetector } = this;
    guardRequest.reservation = this.#reserveUplink(guardRequest);
    const { rolloutObserver } = this;
    const forward = () => this.#forward(guardRequest, source, claim);
    const observed = rolloutObserver
      ? () => rolloutObserver.observe(guardRequest.kind, forward)
      : forward;
    const work = crashDetector ? () => crashDetector.watch(guardRequest, observed) : observed;
    // A claimed request runs to its end even if its caller has disconnected: the caller will retry.
    const checkedWork = claim
      ? work
      : () => this.disconnectCheck.runIfConnected(guardRequest.response, work);
    try {
      await this.limit.run(guardRequest, checkedWork);
    } catch (error) {
      guardRequest.reservation?.[Symbol.dispose]();
      throw error;
    }
  }

  /** Reserves a place on the uplink if the response is expected to be large; throws the refusal. */
  #reserveUplink({ kind, targetAt, deadline }: GuardRequest): Reservation | undefined {
    const bytes = this.#answerSizes.largeAnswerBytes(kind);
    if (bytes === 0) return undefined;
    return this.uplink.admit({ bytes, heldMs: this.limit.heldMsOf(kind), targetAt, deadline });
  }

  async #runOnce(guardRequest: GuardRequest, route: string): Promise<void> {
    if (!this.claims) throw notRun('store-unavailable', 'this process does not support claims');
    const { request, response, deadline } = guardRequest;
    const key = headerOf(request, IDEMPOTENCY_KEY) ?? '';
    sendContinue(request, response);
    this.#setExchangeHeaders(request, response);
    await runOnce(this.claims, { request, response, route, key, deadline }, (source, claim) =>
      this.#run(guardRequest, source, claim),
    );
  }

  #parseRequest(arrival: Arrival): GuardRequest {
    const { request, trace } = arrival;
    const upstream = headerOf(request, UPSTREAM) ?? 'nothing';
    trace.destination = { route: headerOf(request, ROUTE) ?? '', upstream };
    this.#statements.adopt(request);
    const announced = this.#requireEndpoint(upstream);
    return guardRequestOf(arrival, announced, this.configuration());
  }

  #requireEndpoint(upstream: string): AnnouncedEndpoint {
    const { announced } = this;
    if (announced?.upstream !== upstream || announced.state === 'down') {
      throw notRun('no-endpoint', `this guard does not serve upstream ${upstream}`);
    }
    if (this.limit.isDraining) throw notRun('draining', `upstream ${upstream} is draining`);
    // An entry that has not learned of the rollback yet would still send requests to the bad version.
    if (this.rolloutObserver?.isShut)
      throw notRun('draining', `this version of upstream ${upstream} was rolled back`);
    return announced;
  }

  async #forward(
    guardRequest: GuardRequest,
    source: Readable,
    claim?: HeldClaim,
  ): Promise<JobResult & ObservedAnswer> {
    const { request, response, announced } = guardRequest;
    const startedAt = this.clock.now();
    this.#noteAdmitted(guardRequest);
    if (source === request) sendContinue(request, response);
    claim?.start();
    const exchange = this.#exchange(guardRequest, bodyOf(request, source), claim);
    const answer = await exchange.send();
    this.#checkResponse(guardRequest, answer, exchange, startedAt);
    const headMs = this.clock.now() - startedAt;
    const status = answer.statusCode ?? SERVICE_UNAVAILABLE;
    const isShed = isShedResponse(status, answer);
    // Internal headers set by the upstream instance are dropped: only barleyhaven may set them.
    const headers = responseHeaders(answer, this.dialect.allowedFromUpstreams);
    headers.push(VERDICT, 'ran', EXCHANGE_ID, headerOf(request, EXCHANGE_ID) ?? '');
    headers.push(...this.#stateHeaders());
    if (isShed) headers.push(SHED, '1');
    response.writeHead(status, headers);
    if (claim) {
      // Responses to claimed requests are stored in the platform, so they are small.
      guardRequest.reservation?.[Symbol.dispose]();
      claim.settle(await exchange.withProgressTimeout(answer, relayAndRecord(answer, response)));
    } else {
      const length = Number(answer.headers['content-length'] ?? 0);
      this.#answerSizes.record(guardRequest.kind, length);
      guardRequest.reservation = this.uplink.schedule(length, guardRequest.reservation);
      const bytes = await exchange.relay(answer, response, guardRequest.reservation);
      guardRequest.trace.relayed(bytes, this.clock.now() - startedAt - headMs);
    }
    // An endpoint that is still warming up is slow whatever its version, so its time does not count.
    const tookMs = (announced.coldMs ?? 0) > 0 ? undefined : headMs;
    return { headMs, isShed, isFailure: status >= SERVER_ERROR, tookMs };
  }

  #hopState(exchange: string) {
    const { inFlight, slots, waiting, leavingMs } = this.load;
    return { exchange, inFlight, slots, waiting, leavingMs };
  }

  #noteAdmitted({ request, trace }: GuardRequest): void {
    const { inFlight, slots, waiting } = this.limit.load;
    trace.add({
      event: 'admitted',
      exchange: headerOf(request, EXCHANGE_ID) ?? '',
      waitedMs: Math.round(this.clock.now() - trace.startedAt),
      inFlight,
      slots,
      waiting,
    });
  }

  /** Throws if the response is a refusal, or belongs to another request. */
  #checkResponse(
    { request, announced }: GuardRequest,
    answer: IncomingMessage,
    exchange: Exchange,
    sentAt: number,
  ): void {
    const kind = this.dialect.classifyResponse(request, answer);
    if (kind === 'answer' || kind === 'shed') this.#statements.record(announced, answer, sentAt);
    if (kind === 'answer') return;
    if (kind === 'crossed') throw exchange.abortMismatched();
    exchange.discard(answer);
    if (kind === 'shed') throw notRun('shed', 'upstream instance had no capacity');
    // The announced instance no longer exists.
    this.onConnectionRefused();
    throw notRun('no-endpoint', 'another instance has the announced address');
  }

  #exchange(guardRequest: GuardRequest, body: Body, claim: HeldClaim | undefined): Exchange {
    const { request, response, announced, deadline } = guardRequest;
    const { host, port, id } = announced;
    const remaining = Math.max(1, Math.floor(deadline - this.clock.now()));
    const headers = requestHeaders(request, this.dialect.allowedFromEntries);
    headers.push(...this.dialect.guardHeaders(remaining, id));
    if (request.headers[RETRIED] !== undefined) headers.push(RETRIED, '1');
    return new Exchange(
      {
        connections: this.#connections,
        host,
        port,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers,
        body,
        deadline,
        isRepeatable: headerOf(request, REPEATABLE) !== '0',
        // A claimed request runs to its end even if its caller has disconnected: the caller will retry.
        caller: claim ? undefined : response,
      },
      this.clock,
    );
  }

  /** Sets the headers by which an entry matches a refusal to its request, and the state. */
  #setExchangeHeaders(request: IncomingMessage, response: ServerResponse): void {
    response.setHeader(EXCHANGE_ID, headerOf(request, EXCHANGE_ID) ?? '');
    const headers = this.#stateHeaders();
    for (let index = 0; index < headers.length; index += 2) {
      response.setHeader(headers[index]!, headers[index + 1]!);
    }
  }

  /** Load and statements of the upstream instance, as alternating names and values of headers. */
  #stateHeaders(): string[] {
    const { load } = this;
    return [LOAD, formatLoad(load), ...this.#statements.headersWith(load.rate)];
  }
}

function sendContinue(request: IncomingMessage, response: ServerResponse): void {
  if (request.headers.expect !== undefined) response.writeContinue();
}

/** The entry has checked the size of the body, so it is streamed without a limit. */
function bodyOf(request: IncomingMessage, source: Readable): Body {
  if (!hasBody(request)) return new EmptyBody(request.method);
  if (source !== request) return new PeekedBody(request, source);
  return new StreamedBody(request, { prefix: [], maxBytes: Infinity, expectsContinue: false });
}

function isConnectionRefused(error: unknown): boolean {
  const { cause } = asOutcome(error) as { cause?: NodeJS.ErrnoException };
  return cause?.code === 'ECONNREFUSED';
}

/** An upstream instance without capacity responds with 429, or with 503 and `Retry-After`. */
function isShedResponse(status: number, { headers }: IncomingMessage): boolean {
  if (status === TOO_MANY_REQUESTS) return true;
  return status === SERVICE_UNAVAILABLE && headers[RETRY_AFTER] !== undefined;
}

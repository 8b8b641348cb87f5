/** The proxy beside an upstream instance: all requests to that instance pass through it. */
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Readable } from 'node:stream';
import { Configuration } from '../configuration/configuration.js';
import { asOutcome, notRun } from '../contracts.js';
import { type RequestLog, silentRequestLog } from '../logs/request_log.js';
import { type Clock } from '../runtime/clock.js';
import { type Claims } from '../claims/claims.js';
import { ClientErrors } from './client_errors.js';
import { type Dialect } from './dialect.js';
import {
  CLAIM,
  headerOf,
  IDEMPOTENCY_KEY,
  LOAD,
  EXCHANGE_ID,
  nameOf,
  ROUTE,
  UPSTREAM,
} from './headers.js';
import {
  type GuardRequest,
  guardRequestOf,
  type AnnouncedEndpoint,
  type Arrival,
  sendContinue,
} from './guard_request.js';
import { ConcurrencyLimiter } from '../admission/concurrency_limiter.js';
import { type Load, formatLoad } from '../admission/load.js';
import { Uplink } from '../admission/uplink.js';
import { type CrashDetector } from '../quarantine/crash_detector.js';
import { type HeldClaim } from '../claims/held_claim.js';
import { runOnce } from '../claims/once.js';
import { type Observer } from '../rollout/observer.js';
import { DEFAULT_DIALECT } from './default_dialect.js';
import { DisconnectCheck } from './disconnect_check.js';
import { type InstanceRun } from '../membership/instance_run.js';
import { InstanceStatements } from './instance_statements.js';
import { refuse } from './refusal.js';
import { requestListener } from './request_listener.js';
import { RequestTracker } from './request_tracker.js';
import { UpstreamForwarder } from './upstream_forwarder.js';

const DEFAULT_SLOTS = 20;
/** Longer than the idle timeout of entries, so that no connection is closed while a request is sent. */
const KEEP_ALIVE_MS = 75_000;
/** Room for what an entry takes of a caller, 16 KiB in Node, and for the headers that it adds. */
const MAX_HEAD_BYTES = 32 * 1024;

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

  readonly #forwarder: UpstreamForwarder;

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
    const host = {
      limit: this.limit,
      statements: this.#statements,
      stateHeaders: () => this.#stateHeaders(),
      onInstanceGone: () => this.onConnectionRefused(),
    };
    this.#forwarder = new UpstreamForwarder(host, clock, dialect, uplink);
    const serve = requestListener('guard', (request, response) => this.#serve(request, response));
    this.server = ClientErrors.serverOf(serve, {
      keepAliveTimeout: KEEP_ALIVE_MS,
      requestTimeout: 0,
      maxHeaderSize: MAX_HEAD_BYTES,
    }).server;
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
    this.#forwarder.destroy();
  }

  #updateDraining(): void {
    const isAnnounced = this.announced?.state === 'draining';
    this.limit.isDraining = this.#isShuttingDown || isAnnounced || this.#statements.isLeaving;
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!this.tracker.track(response)) return;
    response.writeProcessing();
    const exchange = headerOf(request, EXCHANGE_ID) ?? '';
    const id = this.dialect.requestIdOf(request.headers) ?? exchange;
    const trace = this.requestLog.begin(id, response);
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
    const route = nameOf(request, CLAIM);
    const peeked = await this.crashDetector?.admit(announced.upstream, request, response);
    if (route === undefined) await this.#run(guardRequest, peeked?.body ?? request);
    else await this.#runOnce(guardRequest, route);
  }

  async #run(guardRequest: GuardRequest, source: Readable, claim?: HeldClaim): Promise<void> {
    const { crashDetector } = this;
    guardRequest.reservation = this.#forwarder.reserveUplink(guardRequest);
    const { rolloutObserver } = this;
    const forward = () => this.#forwarder.forward(guardRequest, source, claim);
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
    const upstream = nameOf(request, UPSTREAM) ?? 'nothing';
    trace.destination = { route: nameOf(request, ROUTE) ?? '', upstream };
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

  #hopState(exchange: string) {
    const { inFlight, slots, waiting, leavingMs } = this.load;
    return { exchange, inFlight, slots, waiting, leavingMs };
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
    return [LOAD, formatLoad(load), ...this.#statements.headersWith(load)];
  }
}

function isConnectionRefused(error: unknown): boolean {
  const { cause } = asOutcome(error) as { cause?: NodeJS.ErrnoException };
  return cause?.code === 'ECONNREFUSED';
}

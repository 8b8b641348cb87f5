/** The process beside an upstream instance: all work for that instance passes here. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Readable } from 'node:stream';
import { Configuration } from '../configuration/configuration.js';
import { asOutcome, notRun } from '../contracts.js';
import { type RequestLog, silentRequests } from '../logs/request_log.js';
import { type Clock } from '../runtime/clock.js';
import { type Body, EmptyBody, hasBody, OpenedBody, StreamedBody } from './body.js';
import { type Claims } from '../claims/claims.js';
import { Connections } from './connections.js';
import { type Dialect } from './dialect.js';
import { Exchange } from './exchange.js';
import {
  answerHeaders,
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
import { type Admission, admissionOf, type Announced, type Arrival } from './admission.js';
import { Limit, type Outcome } from '../admission/limit.js';
import { type Load, writeLoad } from '../admission/load.js';
import { type Departure, Uplink } from '../admission/uplink.js';
import { type Flights } from '../quarantine/flights.js';
import { Weights } from '../placement/weights.js';
import { type HeldClaim } from '../claims/held_claim.js';
import { runOnce } from '../claims/once.js';
import { relayAndKeep } from '../claims/outcome.js';
import { type Observer, type Ran } from '../rollout/observer.js';
import { OWN_DIALECT } from './own_dialect.js';
import { Presence } from './presence.js';
import { refuse } from './refusal.js';
import { Traffic } from './traffic.js';

/** Connections to the upstream instance at most; it takes about 100 from everybody. */
const MAX_CONNECTIONS = 100;
const DEFAULT_SLOTS = 20;
/** Entries close idle connections well before, so that none is closed under a request. */
const KEEP_ALIVE_MS = 75_000;
const SERVICE_UNAVAILABLE = 503;
const TOO_MANY_REQUESTS = 429;
const SERVER_ERROR = 500;

export class Guard implements AsyncDisposable {
  readonly server: Server;

  readonly limit: Limit;

  readonly traffic: Traffic;

  announced: Announced | undefined;

  /** Set before the first request; without it requests with a key are refused. */
  claims: Claims | undefined;

  /** Set before the first request; without it no death is looked into and nothing kept out. */
  flights: Flights | undefined;

  /** Set before the first request. */
  requestLog: RequestLog;

  /** Set before the first request; without it nothing is counted and no version shut out. */
  rollouts: Observer | undefined;

  /** Called when the upstream instance refuses a connection: nobody listens there any more. */
  onRefused: () => void = () => {};

  /** Where the limits are looked up that routes name. */
  configuration = () => Configuration.empty;

  readonly #connections: Connections;

  readonly #weights = new Weights();

  /** Whether this process is stopping. */
  #isLeaving = false;

  constructor(
    private readonly clock: Clock,
    private readonly dialect: Dialect = OWN_DIALECT,
    private readonly uplink: Uplink = new Uplink(clock),
    private readonly presence = new Presence(clock),
  ) {
    this.limit = new Limit(clock, DEFAULT_SLOTS);
    this.requestLog = silentRequests(clock);
    this.#connections = new Connections(clock, MAX_CONNECTIONS);
    const serve = (request: IncomingMessage, response: ServerResponse) =>
      void this.#serve(request, response);
    this.server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0 }, serve);
    this.server.on('checkContinue', serve);
    this.traffic = new Traffic(this.server, clock);
  }

  /** Takes over what the upstream instance says of itself. */
  announce(announced: Announced): void {
    const before = this.announced;
    this.announced = announced;
    this.limit.slots = announced.slots;
    this.#weighDrain();
    const wasReady = before?.state === 'ready' || before?.state === 'draining';
    const isOther = before?.port !== announced.port || before.host !== announced.host;
    if (announced.state === 'ready' && (!wasReady || isOther)) {
      this.limit.restart(announced.coldMs === 0);
    }
  }

  /** As it is told to entries. */
  get load(): Load {
    return { ...this.limit.load, leavingMs: Math.round(this.uplink.backlogMs) };
  }

  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** This process is stopping: takes no new work, also none that waits. */
  leave(): void {
    this.#isLeaving = true;
    this.#weighDrain();
    this.traffic.leave();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.traffic.cut();
    this.#connections.destroy();
  }

  #weighDrain(): void {
    this.limit.isDraining = this.#isLeaving || this.announced?.state === 'draining';
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!this.traffic.enter(response)) return;
    response.writeProcessing();
    const exchange = headerOf(request, EXCHANGE_ID) ?? '';
    const trace = this.requestLog.begin(this.dialect.requestIdOf(request.headers) ?? exchange);
    try {
      const arrival = { request, response, trace, at: this.clock.now() };
      // Before it takes a slot, which would stand idle meanwhile.
      await this.presence.pass(response, () => this.#take(arrival));
      trace.answered('guard-ended', response, this.#atEnd(exchange));
    } catch (error) {
      if (isRefusal(error)) this.onRefused();
      const isCut = response.headersSent;
      if (!isCut) this.#sign(request, response);
      const outcome = asOutcome(error);
      refuse(response, outcome, this.clock.now());
      trace.failed('guard-ended', response, outcome, isCut, this.#atEnd(exchange));
    }
  }

  async #take(arrival: Arrival): Promise<void> {
    const { request, response } = arrival;
    const admission = this.#admit(arrival);
    const route = headerOf(request, CLAIM);
    const opening = await this.flights?.admit(admission.announced.upstream, request, response);
    if (route === undefined) await this.#run(admission, opening?.body ?? request);
    else await this.#once(admission, route);
  }

  async #run(admission: Admission, source: Readable, claim?: HeldClaim): Promise<void> {
    const { flights } = this;
    admission.departure = this.#departure(admission);
    const { rollouts } = this;
    const carry = () => this.#forward(admission, source, claim);
    const forward = rollouts ? () => rollouts.observe(admission.kind, carry) : carry;
    const work = flights ? () => flights.watch(admission, forward) : forward;
    // The end of a claimed request is awaited even when its caller has gone: it will ask again.
    const passOn = claim ? work : () => this.presence.pass(admission.response, work);
    try {
      await this.limit.run(admission, passOn);
    } catch (error) {
      admission.departure?.[Symbol.dispose]();
      throw error;
    }
  }

  /** Its place on the link, if its answer will be heavy; throws the refusal if there is none. */
  #departure({ kind, targetAt, deadline }: Admission): Departure | undefined {
    const bytes = this.#weights.heavyBytes(kind);
    if (bytes === 0) return undefined;
    return this.uplink.admit({ bytes, heldMs: this.limit.heldMsOf(kind), targetAt, deadline });
  }

  async #once(admission: Admission, route: string): Promise<void> {
    if (!this.claims) throw notRun('store-unavailable', 'this process cannot make claims');
    const { request, response, deadline } = admission;
    const key = headerOf(request, IDEMPOTENCY_KEY) ?? '';
    askForBody(request, response);
    this.#sign(request, response);
    await runOnce(this.claims, { request, response, route, key, deadline }, (source, claim) =>
      this.#run(admission, source, claim),
    );
  }

  #admit(arrival: Arrival): Admission {
    const { request, trace } = arrival;
    const upstream = headerOf(request, UPSTREAM) ?? 'nothing';
    trace.about = { route: headerOf(request, ROUTE) ?? '', upstream };
    return admissionOf(arrival, this.#serving(upstream), this.configuration());
  }

  #serving(upstream: string): Announced {
    const { announced } = this;
    if (announced?.upstream !== upstream || announced.state === 'down') {
      throw notRun('no-endpoint', `${upstream} is not served here`);
    }
    if (this.limit.isDraining) throw notRun('draining', `${upstream} is leaving`);
    // An entry that has not heard the verdict yet would go on giving a bad version its share.
    if (this.rollouts?.isShut) throw notRun('draining', `${upstream} is rolled back`);
    return announced;
  }

  async #forward(
    admission: Admission,
    source: Readable,
    claim?: HeldClaim,
  ): Promise<Outcome & Ran> {
    const { request, response, announced } = admission;
    const startedAt = this.clock.now();
    this.#noteAdmitted(admission);
    if (source === request) askForBody(request, response);
    claim?.start();
    const exchange = this.#exchange(admission, bodyOf(request, source), claim);
    const answer = await exchange.answer();
    this.#check(request, answer, exchange);
    const headMs = this.clock.now() - startedAt;
    const status = answer.statusCode ?? SERVICE_UNAVAILABLE;
    const isShed = hasShed(status, answer);
    // An upstream cannot speak for barleyhaven: its own internal headers are dropped here.
    const headers = answerHeaders(answer, this.dialect.fromUpstreams);
    headers.push(VERDICT, 'ran', EXCHANGE_ID, headerOf(request, EXCHANGE_ID) ?? '');
    headers.push(LOAD, writeLoad(this.load));
    if (isShed) headers.push(SHED, '1');
    response.writeHead(status, headers);
    if (claim) {
      // Claimed answers are kept in the platform, so they are small.
      admission.departure?.[Symbol.dispose]();
      claim.settle(await exchange.watch(answer, relayAndKeep(answer, response)));
    } else {
      const length = Number(answer.headers['content-length'] ?? 0);
      this.#weights.learn(admission.kind, length);
      admission.departure = this.uplink.begin(length, admission.departure);
      const bytes = await exchange.relay(answer, response, admission.departure);
      admission.trace.relayed(bytes, this.clock.now() - startedAt - headMs);
    }
    // An endpoint that is cold is slow whatever its version.
    const tookMs = (announced.coldMs ?? 0) > 0 ? undefined : headMs;
    return { headMs, isShed, isFailure: status >= SERVER_ERROR, tookMs };
  }

  #atEnd(exchange: string) {
    const { inFlight, slots, waiting, leavingMs } = this.load;
    return { exchange, inFlight, slots, waiting, leavingMs };
  }

  #noteAdmitted({ request, trace }: Admission): void {
    const { inFlight, slots, waiting } = this.limit.load;
    trace.note({
      event: 'admitted',
      exchange: headerOf(request, EXCHANGE_ID) ?? '',
      waitedMs: Math.round(this.clock.now() - trace.startedAt),
      inFlight,
      slots,
      waiting,
    });
  }

  /** Throws if the answer is a refusal, or is not the answer to the request. */
  #check(request: IncomingMessage, answer: IncomingMessage, exchange: Exchange): void {
    const meaning = this.dialect.meaningOf(request, answer);
    if (meaning === 'answer') return;
    if (meaning === 'crossed') throw exchange.distrust();
    exchange.drop(answer);
    if (meaning === 'shed') throw notRun('shed', 'the upstream instance had no room');
    // Nobody is served under that announcement any more.
    this.onRefused();
    throw notRun('no-endpoint', 'another instance has that address');
  }

  #exchange(admission: Admission, body: Body, claim: HeldClaim | undefined): Exchange {
    const { request, response, announced, deadline } = admission;
    const { host, port, id } = announced;
    const remaining = Math.max(1, Math.floor(deadline - this.clock.now()));
    const headers = requestHeaders(request, this.dialect.fromEntries);
    headers.push(...this.dialect.upstreamHeaders(remaining, id));
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
        // The end of a claimed request is awaited even when its caller has gone: it will ask again.
        caller: claim ? undefined : response,
      },
      this.clock,
    );
  }

  /** Headers by which an entry knows that a refusal is for its request. */
  #sign(request: IncomingMessage, response: ServerResponse): void {
    response.setHeader(EXCHANGE_ID, headerOf(request, EXCHANGE_ID) ?? '');
    response.setHeader(LOAD, writeLoad(this.load));
  }
}

function askForBody(request: IncomingMessage, response: ServerResponse): void {
  if (request.headers.expect !== undefined) response.writeContinue();
}

/** The entry has bounded the body; here it is passed on as it comes. */
function bodyOf(request: IncomingMessage, source: Readable): Body {
  if (!hasBody(request)) return new EmptyBody(request.method);
  if (source !== request) return new OpenedBody(request, source);
  return new StreamedBody(request, { prefix: [], maxBytes: Infinity, waits: false });
}

function isRefusal(error: unknown): boolean {
  const { cause } = asOutcome(error) as { cause?: NodeJS.ErrnoException };
  return cause?.code === 'ECONNREFUSED';
}

/** An upstream instance that has no room says 429, or 503 with the time to come back. */
function hasShed(status: number, { headers }: IncomingMessage): boolean {
  if (status === TOO_MANY_REQUESTS) return true;
  return status === SERVICE_UNAVAILABLE && headers[RETRY_AFTER] !== undefined;
}

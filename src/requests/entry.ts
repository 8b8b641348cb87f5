/** Takes requests from callers and brings each to a process beside an upstream. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Configuration } from '../configuration/configuration.js';
import { asOutcome, notRun, OutcomeError } from '../contracts.js';
import { RequestLog, silentRequests, type Trace } from '../logs/request_log.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { Attempts } from './attempts.js';
import { type Balancer } from '../placement/balancer.js';
import { type Body, EmptyBody, hasBody, takeBody } from './body.js';
import { Connections } from './connections.js';
import { type Dialect } from './dialect.js';
import { Exchange } from './exchange.js';
import { type Experience } from '../placement/experience.js';
import {
  answerHeaders,
  headerOf,
  LOAD,
  EXCHANGE_ID,
  RETRIED,
  SHED,
  TOLD_TO_CALLERS,
} from './headers.js';
import { handoverHeaders } from './handover.js';
import { BOUNDS, Hostility } from './hostility.js';
import { type Journey, journeyOf } from './journey.js';
import { readLoad } from '../admission/load.js';
import { Uplink } from '../admission/uplink.js';
import { type Quarantine } from '../quarantine/quarantine.js';
import { refuse } from './refusal.js';
import { refusalIn } from './relayed_refusal.js';
import { headFingerprint } from '../quarantine/request_fingerprint.js';
import { OWN_DIALECT } from './own_dialect.js';
import { Presence } from './presence.js';
import { withReturnTime } from './return_time.js';
import {
  type Retries,
  type RetryBudget,
  RetryBudgets,
  USUAL_RETRIES,
} from '../placement/retry_budget.js';
import { Returns } from '../placement/returns.js';
import { Split } from '../placement/split.js';
import { Traffic } from './traffic.js';
import { Weights } from '../placement/weights.js';

const MAX_SOCKETS_PER_GUARD = 256;
/** Time for the guard's own refusal at the deadline to come back, in milliseconds. */
const ANSWER_GRACE_MS = 50;
/**
 * A guard says at once that it has a request. A lost packet is sent again after 200 ms; what takes
 * longer than one such loss is a cut, or a process that stands still.
 */
const ACKNOWLEDGE_MS = 300;
const SERVER_ERROR = 500;
export class Entry implements AsyncDisposable {
  readonly server: Server;

  readonly traffic: Traffic;

  /** Set before the first request; the guards check again. */
  quarantine: Quarantine | undefined;

  /** Set before the first request. */
  requestLog: RequestLog;

  readonly #connections: Connections;

  readonly #hostility: Hostility;

  readonly #budgets: RetryBudgets;

  /** In front of the number of a request it makes its id unique. */
  readonly #nonce: string;

  #requests = 0;

  readonly #split = new Split();

  readonly #returns = new Returns();

  readonly #weights = new Weights();

  /** Internal headers that callers get to see on answers. */
  readonly #told: ReadonlySet<string>;

  constructor(
    private readonly configuration: () => Configuration,
    private readonly isReady: () => boolean,
    private readonly balancer: Balancer,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly dialect: Dialect = OWN_DIALECT,
    private readonly retries: Retries = USUAL_RETRIES,
    private readonly uplink: Uplink = new Uplink(clock),
    private readonly presence = new Presence(clock),
  ) {
    this.requestLog = silentRequests(clock);
    this.#told = new Set([...TOLD_TO_CALLERS, ...dialect.fromUpstreams]);
    this.#budgets = new RetryBudgets(clock, random, retries.allowance);
    this.#nonce = random.nonce();
    this.#connections = new Connections(clock, MAX_SOCKETS_PER_GUARD);
    const serve = (request: IncomingMessage, response: ServerResponse) =>
      void this.#serve(request, response);
    this.server = createServer(BOUNDS, serve);
    this.server.on('checkContinue', serve);
    this.traffic = new Traffic(this.server, clock);
    this.#hostility = new Hostility(this.server);
  }

  /** Retry budgets by upstream. */
  get budgets(): ReadonlyMap<string, RetryBudget> {
    return this.#budgets.all;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.traffic.cut();
    this.#connections.destroy();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!this.traffic.enter(response)) return;
    this.#hostility.enter(request, response);
    const id = this.dialect.requestIdOf(request.headers) ?? this.#nextId();
    const trace = this.requestLog.begin(id);
    let journey: Journey | undefined;
    try {
      journey = this.#route(request, response, trace);
      const body = hasBody(request) ? await this.#take(journey) : new EmptyBody(request.method);
      await this.#carry(journey, body);
      trace.answered('entry-ended', response);
    } catch (error) {
      const now = this.clock.now();
      const outcome = withReturnTime(asOutcome(error), now, this.random);
      const isCut = response.headersSent;
      if (journey?.caller) this.#returns.turnedAway(journey.caller, journey.firstAt);
      refuse(response, outcome, now, this.dialect);
      trace.failed('entry-ended', response, outcome, isCut);
    }
  }

  /** Decides about a request that has come in; throws the refusal if it cannot be carried. */
  #route(request: IncomingMessage, response: ServerResponse, trace: Trace): Journey {
    if (!this.isReady()) throw notRun('not-ready', 'this process holds no configuration yet');
    const now = this.clock.now();
    const configuration = this.configuration();
    const reading = {
      dialect: this.dialect,
      split: this.#split,
      returns: this.#returns,
      weights: this.#weights,
      retryPercent: this.retries.percent,
      trace,
    };
    const journey = journeyOf(request, response, configuration, now, reading);
    const { asked, route, upstream, deadline, firstAt, targetAt, isRepeatable } = journey;
    trace.routed({
      event: 'routed',
      method: asked.method,
      path: asked.path,
      route: route.name,
      upstream,
      version: configuration.number,
      leftMs: Math.round(deadline - now),
      targetMs: Math.round(targetAt - now),
      ...(firstAt < now && { waitedMs: Math.round(now - firstAt) }),
      isRepeatable,
    });
    this.#check(journey);
    return journey;
  }

  /** Those that only their body gives away are refused by the guard. */
  #check({ request, upstream, asked }: Journey): void {
    const { quarantine } = this;
    if (!quarantine || quarantine.isIdle) return;
    const { method, url } = asked;
    quarantine.check(headFingerprint(upstream, { method, url, headers: request.headers }));
  }

  async #take({ request, response, route, deadline }: Journey): Promise<Body> {
    const { maxBodyBytes } = route;
    const isTooLarge = Number(request.headers['content-length'] ?? 0) > maxBodyBytes;
    if (request.headers.expect !== undefined && !isTooLarge) response.writeContinue();
    const body = await takeBody(request, maxBodyBytes, deadline - this.clock.now());
    this.#hostility.handOver(request);
    return body;
  }

  /** Tries one endpoint after the other, as long as nothing can have run twice. */
  async #carry(journey: Journey, body: Body): Promise<void> {
    const attempts = new Attempts(journey, body, this.balancer, this.#budgets, this.clock);
    let endpoint = attempts.first();
    while (true) {
      const failure = await this.#attempt(journey, body, endpoint, attempts);
      if (!failure) return;
      const further = attempts.next(endpoint, failure);
      if (further.startAt > this.clock.now()) await this.clock.sleepUntil(further.startAt);
      endpoint = further.endpoint;
    }
  }

  /** Resolves to what went wrong, or to nothing when the caller has its answer. */
  async #attempt(
    journey: Journey,
    body: Body,
    endpoint: Experience,
    attempts: Attempts,
  ): Promise<OutcomeError | undefined> {
    const startedAt = this.clock.now();
    const id = this.#nextId();
    endpoint.inFlight += 1;
    let failure: OutcomeError | undefined;
    try {
      failure = await this.presence.pass(journey.response, () =>
        this.#ask(journey, body, endpoint, attempts, id),
      );
    } catch (error) {
      failure = asOutcome(error);
      this.balancer.refused(endpoint, failure, undefined);
    } finally {
      endpoint.inFlight -= 1;
    }
    if (failure) this.#noteFailed(journey, endpoint, id, failure, this.clock.now() - startedAt);
    return failure;
  }

  async #ask(
    journey: Journey,
    body: Body,
    endpoint: Experience,
    attempts: Attempts,
    id: string,
  ): Promise<OutcomeError | undefined> {
    const startedAt = this.clock.now();
    this.#noteSent(journey, endpoint, id, attempts.number);
    endpoint.sent(startedAt);
    const exchange = this.#exchange(journey, body, endpoint, id, () => {
      this.balancer.refused(endpoint, silence(), undefined);
      return !this.traffic.isLeaving && attempts.canMoveFrom(endpoint);
    });
    const answer = await exchange.answer();
    if (answer.headers[EXCHANGE_ID] !== id) throw exchange.distrust();
    const now = this.clock.now();
    const load = readLoad(headerOf(answer, LOAD));
    const refusal = refusalIn(answer, now);
    if (answer.headers[RETRIED] !== undefined) journey.isRetriedElsewhere = true;
    if (refusal) {
      exchange.drop(answer);
      this.balancer.refused(endpoint, refusal, load);
      return refusal;
    }
    const status = answer.statusCode ?? SERVER_ERROR;
    this.balancer.answered(endpoint, now - startedAt, load, status >= SERVER_ERROR);
    if (answer.headers[SHED] !== undefined) this.balancer.shed(endpoint);
    this.#budgets.of(journey.upstream).credit(journey.retryPercent);
    const length = Number(answer.headers['content-length'] ?? 0);
    this.#weights.learn(journey.route.name, length);
    journey.response.writeHead(status, answerHeaders(answer, this.#told));
    const bytes = await exchange.relay(answer, journey.response, this.uplink.begin(length));
    journey.trace.relayed(bytes, this.clock.now() - now);
    return undefined;
  }

  #exchange(
    journey: Journey,
    body: Body,
    endpoint: Experience,
    id: string,
    onUnacknowledged: () => boolean,
  ): Exchange {
    const { member } = endpoint;
    const { response, asked, deadline, isRepeatable } = journey;
    const headers = handoverHeaders(journey, id, this.dialect, this.clock);
    return new Exchange(
      {
        connections: this.#connections,
        host: member.host,
        port: member.guardPort,
        method: asked.method,
        path: asked.url,
        headers,
        body,
        deadline: deadline + ANSWER_GRACE_MS,
        isRepeatable,
        acknowledgeMs: ACKNOWLEDGE_MS,
        onUnacknowledged,
        caller: response,
      },
      this.clock,
    );
  }

  #noteSent({ trace }: Journey, endpoint: Experience, exchange: string, attempt: number): void {
    const { instance, dataCentre } = endpoint.member;
    const seen = this.balancer.seenOf(endpoint);
    trace.note({ event: 'sent', exchange, endpoint: instance, dataCentre, attempt, ...seen });
  }

  #noteFailed(
    { trace }: Journey,
    { member }: Experience,
    exchange: string,
    { verdict, reason, message }: OutcomeError,
    tookMs: number,
  ): void {
    trace.note({
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
    this.#requests += 1;
    return `${this.#nonce}-${this.#requests}`;
  }
}

function silence(): OutcomeError {
  const props = { verdict: 'may-have-run', reason: 'unacknowledged' } as const;
  return new OutcomeError('the process beside the upstream does not react', props);
}

/** Forwards admitted requests to the upstream instance beside a guard, and relays its responses. */
import { type IncomingMessage } from 'node:http';
import { type Readable } from 'node:stream';
import { type ConcurrencyLimiter, type JobResult } from '../admission/concurrency_limiter.js';
import { type Reservation, type Uplink } from '../admission/uplink.js';
import { type HeldClaim } from '../claims/held_claim.js';
import { relayAndRecord } from '../claims/outcome.js';
import { notRun } from '../contracts.js';
import { AnswerSizes } from '../placement/answer_sizes.js';
import { type ObservedAnswer } from '../rollout/observer.js';
import { type Clock } from '../runtime/clock.js';
import { type Body, EmptyBody, hasBody, PeekedBody, StreamedBody } from './body.js';
import { ConnectionPool } from './connection_pool.js';
import { type Dialect } from './dialect.js';
import { Exchange } from './exchange.js';
import { type GuardRequest, sendContinue } from './guard_request.js';
import {
  EXCHANGE_ID,
  headerOf,
  REPEATABLE,
  requestHeaders,
  responseHeaders,
  RETRIED,
  RETRY_AFTER,
  SHED,
  VERDICT,
} from './headers.js';
import { type InstanceStatements } from './instance_statements.js';

/** Most connections to the upstream instance, which accepts about 100 in total. */
const MAX_CONNECTIONS = 100;
const SERVICE_UNAVAILABLE = 503;
const TOO_MANY_REQUESTS = 429;
const SERVER_ERROR = 500;

/** What the guard tells the forwarder, and learns from it. */
export interface UpstreamForwarderContext {
  readonly limit: ConcurrencyLimiter;
  readonly statements: InstanceStatements;
  /** Headers of the guard's state, as alternating names and values. */
  stateHeaders(): readonly string[];
  /** Called when the announced instance does not exist any more. */
  onInstanceGone(): void;
}

export class UpstreamForwarder {
  readonly #connections: ConnectionPool;

  readonly #answerSizes = new AnswerSizes();

  constructor(
    private readonly context: UpstreamForwarderContext,
    private readonly clock: Clock,
    private readonly dialect: Dialect,
    private readonly uplink: Uplink,
  ) {
    this.#connections = new ConnectionPool(clock, MAX_CONNECTIONS);
  }

  /** Reserves a place on the uplink if the response is expected to be large; throws the refusal. */
  reserveUplink({ kind, targetAt, deadline }: GuardRequest): Reservation | undefined {
    const bytes = this.#answerSizes.largeAnswerBytes(kind);
    if (bytes === 0) return undefined;
    const heldMs = this.context.limit.heldMsOf(kind);
    return this.uplink.admit({ bytes, heldMs, targetAt, deadline });
  }

  /** Forwards a request that holds a slot; resolves once its response is relayed. */
  async forward(
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
    const answeredAt = this.clock.now();
    const status = answer.statusCode ?? SERVICE_UNAVAILABLE;
    const isShed = isShedResponse(status, answer);
    response.writeHead(status, this.#responseHeaders(guardRequest, answer, isShed));
    if (claim) await this.#settle(guardRequest, answer, exchange, claim);
    else await this.#relay(guardRequest, answer, exchange);
    // An endpoint that is still warming up is slow whatever its version, so its time does not count.
    const isCold = (announced.coldMs ?? 0) > 0;
    const tookMs = isCold ? undefined : this.context.limit.slowness.usualMs(startedAt, answeredAt);
    return { headMs: answeredAt - startedAt, isShed, isFailure: status >= SERVER_ERROR, tookMs };
  }

  destroy(): void {
    this.#connections.destroy();
  }

  #noteAdmitted({ request, trace }: GuardRequest): void {
    const { inFlight, slots, waiting } = this.context.limit.load;
    trace.add({
      event: 'admitted',
      exchange: headerOf(request, EXCHANGE_ID) ?? '',
      waitedMs: Math.round(this.clock.now() - trace.startedAt),
      inFlight,
      slots,
      waiting,
    });
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

  /** Throws if the response is a refusal, or belongs to another request. */
  #checkResponse(
    { request, announced }: GuardRequest,
    answer: IncomingMessage,
    exchange: Exchange,
    sentAt: number,
  ): void {
    const kind = this.dialect.classifyResponse(request, answer);
    if (kind === 'answer' || kind === 'shed')
      this.context.statements.record(announced, answer, sentAt);
    if (kind === 'answer') return;
    if (kind === 'crossed') throw exchange.abortMismatched();
    exchange.discard(answer);
    if (kind === 'shed') throw notRun('shed', 'upstream instance had no capacity');
    this.context.onInstanceGone();
    throw notRun('no-endpoint', 'another instance has the announced address');
  }

  #responseHeaders({ request }: GuardRequest, answer: IncomingMessage, isShed: boolean): string[] {
    // Internal headers set by the upstream instance are dropped: only barleyhaven may set them.
    const headers = responseHeaders(answer, this.dialect.allowedFromUpstreams);
    headers.push(VERDICT, 'ran', EXCHANGE_ID, headerOf(request, EXCHANGE_ID) ?? '');
    headers.push(...this.context.stateHeaders());
    if (isShed) headers.push(SHED, '1');
    return headers;
  }

  /** Relays the response to a claimed request; it is stored in the platform, so it is small. */
  async #settle(
    { reservation, response }: GuardRequest,
    answer: IncomingMessage,
    exchange: Exchange,
    claim: HeldClaim,
  ): Promise<void> {
    reservation?.[Symbol.dispose]();
    claim.settle(await exchange.withProgressTimeout(answer, relayAndRecord(answer, response)));
  }

  async #relay(
    guardRequest: GuardRequest,
    answer: IncomingMessage,
    exchange: Exchange,
  ): Promise<void> {
    const startedAt = this.clock.now();
    const length = Number(answer.headers['content-length'] ?? 0);
    this.#answerSizes.record(guardRequest.kind, length);
    const reservation = this.uplink.schedule(length, guardRequest.reservation);
    guardRequest.reservation = reservation;
    const bytes = await exchange.relay(answer, guardRequest.response, reservation);
    guardRequest.trace.relayed(bytes, this.clock.now() - startedAt);
  }
}

/** The entry has checked the size of the body, so it is streamed without a limit. */
function bodyOf(request: IncomingMessage, source: Readable): Body {
  if (!hasBody(request)) return new EmptyBody(request.method);
  if (source !== request) return new PeekedBody(request, source);
  return new StreamedBody(request, { prefix: [], maxBytes: Infinity, expectsContinue: false });
}

/** An upstream instance without capacity responds with 429, or with 503 and `Retry-After`. */
function isShedResponse(status: number, { headers }: IncomingMessage): boolean {
  if (status === TOO_MANY_REQUESTS) return true;
  return status === SERVICE_UNAVAILABLE && headers[RETRY_AFTER] !== undefined;
}

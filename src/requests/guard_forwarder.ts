/** Sends one attempt of a request to the guard of an endpoint, and relays the answer to the caller. */
import { type IncomingMessage } from 'node:http';
import { asOutcome, OutcomeError } from '../contracts.js';
import { type Load, parseLoad } from '../admission/load.js';
import { type Uplink } from '../admission/uplink.js';
import { type AnswerSizes } from '../placement/answer_sizes.js';
import { type Balancer } from '../placement/balancer.js';
import { type EndpointStats } from '../placement/endpoint_stats.js';
import { type RetryBudgets } from '../placement/retry_budget.js';
import { type Clock } from '../runtime/clock.js';
import { type Attempts } from './attempts.js';
import { type Body } from './body.js';
import { ConnectionPool } from './connection_pool.js';
import { type Dialect } from './dialect.js';
import { type DisconnectCheck } from './disconnect_check.js';
import { Exchange } from './exchange.js';
import { parseGuardRefusal } from './guard_refusal.js';
import { handoverHeaders } from './handover.js';
import {
  CALLER_VISIBLE_HEADERS,
  EXCHANGE_ID,
  headerOf,
  LEAVING,
  LOAD,
  RATE,
  responseHeaders,
  RETRIED,
  SHED,
  SLOWNESS,
} from './headers.js';
import { KnownStatements } from './known_statements.js';
import { type RoutedRequest } from './routed_request.js';

const MAX_SOCKETS_PER_GUARD = 256;
/** Time after the deadline for the guard's own refusal to arrive, in milliseconds. */
const DEADLINE_GRACE_MS = 50;
/**
 * A guard acknowledges a request at once, with `102 Processing`. A lost packet is retransmitted after
 * 200 ms, so a longer silence means a network partition or a stalled process.
 */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 300;
const SERVER_ERROR = 500;

/** What a `GuardForwarder` shares with the entry that it belongs to. */
export interface GuardForwarderContext {
  readonly balancer: Balancer;
  readonly budgets: RetryBudgets;
  readonly answerSizes: AnswerSizes;
  readonly clock: Clock;
  readonly dialect: Dialect;
  readonly uplink: Uplink;
  readonly disconnectCheck: DisconnectCheck;
  /** Whether the process is stopping, so that no request may be sent a second time. */
  readonly isShuttingDown: () => boolean;
  /** A new id of an exchange, unique across processes. */
  readonly nextId: () => string;
}

/** A request with the endpoint that it is sent to. */
interface Attempt {
  /** Id of the exchange. */
  readonly id: string;
  readonly routed: RoutedRequest;
  readonly body: Body;
  readonly endpoint: EndpointStats;
  readonly attempts: Attempts;
}

export class GuardForwarder implements Disposable {
  readonly #connections: ConnectionPool;

  readonly #knownStatements = new KnownStatements();

  /** Internal headers forwarded to callers on responses. */
  readonly #callerVisibleHeaders: ReadonlySet<string>;

  constructor(private readonly context: GuardForwarderContext) {
    const { clock, dialect } = context;
    this.#connections = new ConnectionPool(clock, MAX_SOCKETS_PER_GUARD);
    this.#callerVisibleHeaders = new Set([
      ...CALLER_VISIBLE_HEADERS,
      ...dialect.allowedFromUpstreams,
    ]);
  }

  /** Resolves to the failure, or to undefined once the caller has its response. */
  async send(
    routed: RoutedRequest,
    body: Body,
    endpoint: EndpointStats,
    attempts: Attempts,
  ): Promise<OutcomeError | undefined> {
    const { balancer, clock, disconnectCheck, nextId } = this.context;
    const startedAt = clock.now();
    const attempt: Attempt = { id: nextId(), routed, body, endpoint, attempts };
    endpoint.inFlight += 1;
    let failure: OutcomeError | undefined;
    try {
      failure = await disconnectCheck.runIfConnected(routed.response, () =>
        this.#sendConnected(attempt),
      );
    } catch (error) {
      failure = asOutcome(error);
      balancer.recordRefusal(endpoint, failure, undefined);
    } finally {
      endpoint.inFlight -= 1;
    }
    if (failure) noteFailed(attempt, failure, clock.now() - startedAt);
    return failure;
  }

  [Symbol.dispose](): void {
    this.#connections.destroy();
  }

  /** The caller was still connected a moment ago. */
  async #sendConnected(attempt: Attempt): Promise<OutcomeError | undefined> {
    const { balancer, clock } = this.context;
    const { id, routed, endpoint } = attempt;
    const startedAt = clock.now();
    this.#noteSent(attempt);
    endpoint.recordSent(startedAt);
    const exchange = this.#exchange(attempt);
    const answer = await exchange.send();
    if (answer.headers[EXCHANGE_ID] !== id) throw exchange.abortMismatched();
    const load = this.#recordStatements(endpoint, answer);
    const now = clock.now();
    const refusal = parseGuardRefusal(answer, now);
    if (answer.headers[RETRIED] !== undefined) routed.isRetriedElsewhere = true;
    if (refusal) {
      exchange.discard(answer);
      balancer.recordRefusal(endpoint, refusal, load);
      return refusal;
    }
    const isFailure = (answer.statusCode ?? SERVER_ERROR) >= SERVER_ERROR;
    balancer.recordAnswer(endpoint, now - startedAt, load, isFailure);
    if (answer.headers[SHED] !== undefined) balancer.recordShed(endpoint);
    await this.#relay(routed, exchange, answer);
    return undefined;
  }

  /** Records what the guard states in any answer, and returns its load. */
  #recordStatements(endpoint: EndpointStats, answer: IncomingMessage): Load | undefined {
    const load = parseLoad(
      headerOf(answer, LOAD),
      headerOf(answer, RATE),
      headerOf(answer, SLOWNESS),
    );
    this.#knownStatements.record(endpoint.member.instance, answer, load);
    if (headerOf(answer, LEAVING) !== undefined) this.context.balancer.recordLeaving(endpoint);
    return load;
  }

  async #relay(routed: RoutedRequest, exchange: Exchange, answer: IncomingMessage): Promise<void> {
    const { budgets, answerSizes, clock, uplink } = this.context;
    const startedAt = clock.now();
    budgets.of(routed.upstream).credit(routed.retryPercent);
    const length = Number(answer.headers['content-length'] ?? 0);
    answerSizes.record(routed.route.name, length);
    const status = answer.statusCode ?? SERVER_ERROR;
    routed.response.writeHead(status, responseHeaders(answer, this.#callerVisibleHeaders));
    const bytes = await exchange.relay(answer, routed.response, uplink.schedule(length));
    routed.trace.relayed(bytes, clock.now() - startedAt);
  }

  #exchange({ id, routed, body, endpoint, attempts }: Attempt): Exchange {
    const { balancer, clock, dialect, isShuttingDown } = this.context;
    const { response, target, deadline, isRepeatable } = routed;
    const { host, guardPort, instance } = endpoint.member;
    const headers = handoverHeaders(routed, id, dialect, clock);
    headers.push(...this.#knownStatements.headersFor(instance));
    return new Exchange(
      {
        connections: this.#connections,
        host,
        port: guardPort,
        method: target.method,
        path: target.url,
        headers,
        body,
        deadline: deadline + DEADLINE_GRACE_MS,
        isRepeatable,
        acknowledgementTimeoutMs: ACKNOWLEDGEMENT_TIMEOUT_MS,
        onUnacknowledged: () => {
          balancer.recordRefusal(endpoint, unacknowledged(), undefined);
          return !isShuttingDown() && attempts.canFailOverFrom(endpoint);
        },
        caller: response,
      },
      clock,
    );
  }

  #noteSent({ id, routed, endpoint, attempts }: Attempt): void {
    const { instance, dataCentre } = endpoint.member;
    routed.trace.add({
      event: 'sent',
      exchange: id,
      endpoint: instance,
      dataCentre,
      attempt: attempts.number,
      ...this.context.balancer.snapshotOf(endpoint),
    });
  }
}

function noteFailed({ id, routed, endpoint }: Attempt, failure: OutcomeError, tookMs: number) {
  const { verdict, reason, message } = failure;
  routed.trace.add({
    event: 'attempt-failed',
    exchange: id,
    endpoint: endpoint.member.instance,
    verdict,
    reason,
    message,
    tookMs: Math.round(tookMs),
  });
}

function unacknowledged(): OutcomeError {
  const props = { verdict: 'may-have-run', reason: 'unacknowledged' } as const;
  return new OutcomeError(`no acknowledgement within ${ACKNOWLEDGEMENT_TIMEOUT_MS} ms`, props);
}

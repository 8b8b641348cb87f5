/** A caller's request with its routing decision. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Configuration } from '../configuration/configuration.js';
import { notRun, type Route, type Team } from '../contracts.js';
import { authenticate } from '../teams/authentication.js';
import { TeamIndex } from '../teams/team_index.js';
import { type Dialect } from './dialect.js';
import { IDEMPOTENCY_KEY, RETRIED } from './headers.js';
import { type Trace } from '../logs/request_log.js';
import { isRepeatable, routeOf } from './router.js';
import { type Caller, type ReturningCallers } from '../placement/returning_callers.js';
import { type Split } from '../placement/split.js';
import { type AnswerSizes } from '../placement/answer_sizes.js';
import { type RequestTarget, parseTarget } from './target.js';

/** A routed request; it keeps the version of the configuration in force at its arrival. */
export interface RoutedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly target: RequestTarget;
  readonly route: Route;
  /** The team whose key the caller sent; undefined for callers without one. */
  readonly team: Team | undefined;
  /** Whether callers are told apart by keys, which no other process may see. */
  readonly hasTeams: boolean;
  /** Identity of the caller; undefined if it sends no timeout. */
  readonly caller: Caller | undefined;
  /** Time of the caller's first attempt, in milliseconds since the epoch. */
  readonly firstAt: number;
  /** The upstream chosen among those of the route. */
  readonly upstream: string;
  /** How much sooner another data centre must be expected to respond to be chosen, in milliseconds. */
  readonly awayMs: number;
  /** In milliseconds since the epoch. */
  readonly deadline: number;
  /** Instant until which a response is of full use to the caller, in milliseconds since the epoch. */
  readonly targetAt: number;
  /** Whether it may run twice. */
  readonly isRepeatable: boolean;
  /** Allowed retries, as a percentage of answered requests. */
  readonly retryPercent: number;
  readonly trace: Trace;
  /** Whether it is counted in the quota of its team. */
  isCounted: boolean;
  /** Whether another hop, above or below, has retried it. */
  isRetriedElsewhere: boolean;
}

/** What `routeRequest` needs besides the request and the configuration. */
export interface RoutingContext {
  readonly dialect: Dialect;
  readonly split: Split;
  readonly returningCallers: ReturningCallers;
  readonly answerSizes: AnswerSizes;
  /** Allowed retries for routes without a limit, as a percentage of answered requests. */
  readonly retryPercent: number;
  readonly trace: Trace;
}

/** Routes a request and sets its time limits; throws `not-run` if it cannot be served. */
export function routeRequest(
  request: IncomingMessage,
  response: ServerResponse,
  configuration: Configuration,
  now: number,
  { dialect, split, returningCallers, answerSizes, retryPercent, trace }: RoutingContext,
): RoutedRequest {
  const target = parseTarget(request);
  const route = routeOf(configuration, target);
  if (!route) throw notRun('no-route', `no route for ${target.method} ${target.path}`);
  const teams = TeamIndex.of(configuration);
  const team = authenticate(teams, route, request);
  if (route.requireKey && request.headers[IDEMPOTENCY_KEY] === undefined) {
    throw notRun('key-required', `route ${route.name} requires an Idempotency-Key header`);
  }
  const waitMs = dialect.callerTimeoutMs(request.headers);
  const deadline = now + Math.min(waitMs ?? route.timeoutMs, route.timeoutMs);
  const caller = waitMs === undefined ? undefined : callerOf(target, now + waitMs);
  const firstAt = caller ? returningCallers.firstAt(caller, now) : now;
  const targetAt = firstAt + (route.targetMs ?? route.timeoutMs);
  const limit = route.limit === undefined ? undefined : configuration.find('limit', route.limit);
  return {
    request,
    response,
    target,
    route,
    team,
    hasTeams: teams.hasTeams,
    caller,
    firstAt,
    upstream: split.choose(route),
    awayMs: answerSizes.awayMs(route.name),
    deadline,
    targetAt: Math.min(targetAt, deadline),
    isRepeatable: isRepeatable(route, target.method),
    retryPercent: limit?.retryPercent ?? retryPercent,
    trace,
    isCounted: false,
    isRetriedElsewhere: request.headers[RETRIED] !== undefined,
  };
}

function callerOf({ method, host, url }: RequestTarget, givesUpAt: number): Caller {
  return { asks: `${method} ${host}${url}`, givesUpAt };
}

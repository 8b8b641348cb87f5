/** One caller's request, and what was decided about it when it came in. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Configuration } from '../configuration/configuration.js';
import { notRun, type Route } from '../contracts.js';
import { type Dialect } from './dialect.js';
import { IDEMPOTENCY_KEY, RETRIED } from './headers.js';
import { type Trace } from '../logs/request_log.js';
import { isRepeatable, routeOf } from './router.js';
import { type Caller, type Returns } from '../placement/returns.js';
import { type Split } from '../placement/split.js';
import { type Weights } from '../placement/weights.js';
import { type Asked, askedBy } from './target.js';

/** It keeps the version of the configuration that it began with. */
export interface Journey {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly asked: Asked;
  readonly route: Route;
  /** Who asks; absent if it does not say how long it waits. */
  readonly caller: Caller | undefined;
  /** When that caller asked first, in milliseconds since the epoch. */
  readonly firstAt: number;
  /** The one of the route's upstreams that is to run it. */
  readonly upstream: string;
  /** How much sooner another data centre must answer to be asked, in milliseconds. */
  readonly awayMs: number;
  /** In milliseconds since the epoch. */
  readonly deadline: number;
  /** Until when an answer is of full use to the caller, in milliseconds since the epoch. */
  readonly targetAt: number;
  /** Whether it may run twice. */
  readonly isRepeatable: boolean;
  /** Retries allowed, as a percentage of answered requests. */
  readonly retryPercent: number;
  readonly trace: Trace;
  /** Whether a hop above or below has retried it. */
  isRetriedElsewhere: boolean;
}

/** What a request is read with. */
export interface Reading {
  readonly dialect: Dialect;
  readonly split: Split;
  readonly returns: Returns;
  readonly weights: Weights;
  /** Retries for routes without a limit, as a percentage of answered requests. */
  readonly retryPercent: number;
  readonly trace: Trace;
}

/** Decides about a request; throws `not-run` if it cannot be carried. */
export function journeyOf(
  request: IncomingMessage,
  response: ServerResponse,
  configuration: Configuration,
  now: number,
  { dialect, split, returns, weights, retryPercent, trace }: Reading,
): Journey {
  const asked = askedBy(request);
  const route = routeOf(configuration, asked);
  if (!route) throw notRun('no-route', `no route for ${asked.method} ${asked.path}`);
  if (route.requireKey && request.headers[IDEMPOTENCY_KEY] === undefined) {
    throw notRun('key-required', 'this route insists on an Idempotency-Key');
  }
  const waitMs = dialect.callerTimeoutMs(request.headers);
  const deadline = now + Math.min(waitMs ?? route.timeoutMs, route.timeoutMs);
  const caller = waitMs === undefined ? undefined : callerOf(asked, now + waitMs);
  const firstAt = caller ? returns.firstAt(caller, now) : now;
  const targetAt = firstAt + (route.targetMs ?? route.timeoutMs);
  const limit = route.limit === undefined ? undefined : configuration.find('limit', route.limit);
  return {
    request,
    response,
    asked,
    route,
    caller,
    firstAt,
    upstream: split.choose(route),
    awayMs: weights.awayMs(route.name),
    deadline,
    targetAt: Math.min(targetAt, deadline),
    isRepeatable: isRepeatable(route, asked.method),
    retryPercent: limit?.retryPercent ?? retryPercent,
    trace,
    isRetriedElsewhere: request.headers[RETRIED] !== undefined,
  };
}

function callerOf({ method, host, url }: Asked, givesUpAt: number): Caller {
  return { asks: `${method} ${host}${url}`, givesUpAt };
}

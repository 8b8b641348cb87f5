/** One caller's request, and what was decided about it when it came in. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Configuration } from '../configuration/configuration.js';
import { type Route } from '../contracts.js';
import { type Dialect } from './dialect.js';
import { IDEMPOTENCY_KEY, RETRIED } from './headers.js';
import { notRun } from './refusal.js';
import { type Trace } from '../logs/request_log.js';
import { isRepeatable, routeOf } from './router.js';
import { type Split } from '../placement/split.js';
import { type Asked, askedBy } from './target.js';
import { type UsualWaits } from '../placement/usual_wait.js';

/** It keeps the version of the configuration that it began with. */
export interface Journey {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly asked: Asked;
  readonly route: Route;
  /** The one of the route's upstreams that is to run it. */
  readonly upstream: string;
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
  readonly usualWaits: UsualWaits;
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
  { dialect, split, usualWaits, retryPercent, trace }: Reading,
): Journey {
  const asked = askedBy(request);
  const route = routeOf(configuration, asked);
  if (!route) throw notRun('no-route', `no route for ${asked.method} ${asked.path}`);
  if (route.requireKey && request.headers[IDEMPOTENCY_KEY] === undefined) {
    throw notRun('key-required', 'this route insists on an Idempotency-Key');
  }
  const waitMs = dialect.callerTimeoutMs(request.headers) ?? route.timeoutMs;
  const deadline = now + Math.min(waitMs, route.timeoutMs);
  const targetMs = route.targetMs ?? route.timeoutMs;
  const targetAt = now + targetMs - usualWaits.elapsed(route.name, waitMs);
  const limit = route.limit === undefined ? undefined : configuration.find('limit', route.limit);
  return {
    request,
    response,
    asked,
    route,
    upstream: split.choose(route),
    deadline,
    targetAt: Math.min(targetAt, deadline),
    isRepeatable: isRepeatable(route, asked.method),
    retryPercent: limit?.retryPercent ?? retryPercent,
    trace,
    isRetriedElsewhere: request.headers[RETRIED] !== undefined,
  };
}

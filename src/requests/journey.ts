/** One caller's request, and what was decided about it when it came in. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Configuration } from '../configuration/configuration.js';
import { type Route } from '../contracts.js';
import { CALLER_TIMEOUT, IDEMPOTENCY_KEY, RETRIED } from './headers.js';
import { notRun } from './refusal.js';
import { isRepeatable, routeOf } from './router.js';
import { type Asked, askedBy } from './target.js';

/** Share of retries for routes without a limit, in percent. */
const DEFAULT_RETRY_PERCENT = 10;

/** It keeps the version of the configuration that it began with. */
export interface Journey {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly asked: Asked;
  readonly route: Route;
  /** In milliseconds since the epoch. */
  readonly deadline: number;
  /** Whether it may run twice. */
  readonly isRepeatable: boolean;
  /** Retries allowed, as a percentage of answered requests. */
  readonly retryPercent: number;
  /** Whether a hop above or below has retried it. */
  isRetriedElsewhere: boolean;
}

/** Decides about a request; throws `not-run` if it cannot be carried. */
export function journeyOf(
  request: IncomingMessage,
  response: ServerResponse,
  configuration: Configuration,
  now: number,
): Journey {
  const asked = askedBy(request);
  const route = routeOf(configuration, asked);
  if (!route) throw notRun('no-route', `no route for ${asked.method} ${asked.path}`);
  if (route.requireKey && request.headers[IDEMPOTENCY_KEY] === undefined) {
    throw notRun('key-required', 'this route insists on an Idempotency-Key');
  }
  const deadline = now + timeoutOf(request, route);
  const limit = route.limit === undefined ? undefined : configuration.find('limit', route.limit);
  return {
    request,
    response,
    asked,
    route,
    deadline,
    isRepeatable: isRepeatable(route, asked.method),
    retryPercent: limit?.retryPercent ?? DEFAULT_RETRY_PERCENT,
    isRetriedElsewhere: request.headers[RETRIED] !== undefined,
  };
}

/** What the route grants, or less if the caller asks for less; in milliseconds. */
function timeoutOf(request: IncomingMessage, { timeoutMs }: Route): number {
  const asked = Number(request.headers[CALLER_TIMEOUT]);
  return asked > 0 ? Math.min(asked, timeoutMs) : timeoutMs;
}

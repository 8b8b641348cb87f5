/** Headers of a request that an entry hands over to a guard. */
import { type Clock } from '../runtime/clock.js';
import { type Dialect } from './dialect.js';
import {
  CLAIM,
  EXCHANGE_ID,
  IDEMPOTENCY_KEY,
  LIMIT,
  nameHeader,
  PRIORITY,
  REMAINING,
  REPEATABLE,
  requestHeaders,
  RETRIED,
  ROUTE,
  TARGET,
  TEAM,
  UPSTREAM,
} from './headers.js';
import { type RoutedRequest } from './routed_request.js';

/** Headers for the guard, as alternating names and values; `id` is that of the exchange. */
export function handoverHeaders(
  routed: RoutedRequest,
  id: string,
  dialect: Dialect,
  clock: Clock,
): string[] {
  const { request, route, team, upstream, deadline, targetAt, isRepeatable } = routed;
  const now = clock.now();
  const remaining = Math.max(1, Math.floor(deadline - now));
  const routeName = nameHeader(route.name);
  const headers = requestHeaders(request, dialect.allowedFromCallers, routed.hasTeams);
  // Only HTTP/1.0 knows requests without it.
  if (request.headers.host === undefined) headers.push('host', '');
  headers.push(...dialect.entryHeaders(team?.name));
  if (team) headers.push(TEAM, nameHeader(team.name));
  headers.push(UPSTREAM, nameHeader(upstream), EXCHANGE_ID, id, REMAINING, String(remaining));
  headers.push(PRIORITY, String(team?.priority ?? route.priority), ROUTE, routeName);
  headers.push(TARGET, String(Math.floor(targetAt - now)));
  if (!isRepeatable) headers.push(REPEATABLE, '0');
  if (isRetried(routed)) headers.push(RETRIED, '1');
  const hasKey = dialect.takesKeys && request.headers[IDEMPOTENCY_KEY] !== undefined;
  if (!isRepeatable && hasKey) headers.push(CLAIM, routeName);
  if (route.limit !== undefined) headers.push(LIMIT, nameHeader(route.limit));
  return headers;
}

function isRetried({ isRetriedElsewhere, response }: RoutedRequest): boolean {
  return isRetriedElsewhere || response.hasHeader(RETRIED);
}

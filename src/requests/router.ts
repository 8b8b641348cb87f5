/** Finds the route of a request in the configuration in force. */
import { type IncomingHttpHeaders } from 'node:http';
import { type Configuration } from '../configuration/configuration.js';
import { type Route } from '../contracts.js';
import { firstIndex } from '../runtime/search.js';

/** The parts of a request that decide its route. */
export interface Target {
  readonly method: string;
  /** In lower case, without port. */
  readonly host: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
}

/** Routes by first path segment, each list ordered by specificity. */
interface RouteTable {
  readonly bySegment: ReadonlyMap<string, readonly Route[]>;
  /** Routes with the prefix `/`, for segments that no other route names. */
  readonly others: readonly Route[];
}

/** Tables by host; `anyHost` holds the routes without a host. */
interface CompiledRoutes {
  /** All routes, ordered by specificity. */
  readonly sorted: readonly Route[];
  readonly byHost: ReadonlyMap<string, RouteTable>;
  readonly anyHost: RouteTable;
}

const COMPILED = Symbol('compiled routes');
/** Up to this many new routes are inserted one by one; for more, all routes are sorted again. */
const MAX_INSERTED_ROUTES = 64;
/** Up to this many changed hosts, only their tables are rebuilt; for more, all are. */
const MAX_REBUILT_HOSTS = 8;
const REPEATABLE_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
]);

/**
 * The most specific route that matches a request. Specificity is decided by: a host before none, the
 * longer path prefix, more header conditions, a method list before none, the name in order.
 */
export function routeOf(configuration: Configuration, target: Target): Route | undefined {
  const { byHost, anyHost } = compiledRoutes(configuration);
  const { bySegment, others } = byHost.get(target.host) ?? anyHost;
  const routes = bySegment.get(firstSegment(target.path)) ?? others;
  return routes.find((route) => matches(route, target));
}

/** Whether a request with that method may run twice under the route. */
export function isRepeatable(route: Route, method: string): boolean {
  return route.repeatable ?? REPEATABLE_METHODS.has(method);
}

function compiledRoutes(configuration: Configuration): CompiledRoutes {
  const known = configuration.derived.get(COMPILED) as CompiledRoutes | undefined;
  if (known) return known;
  const earlier = configuration.latestDerived(COMPILED) as CompiledRoutes | undefined;
  const routes = [...configuration.all('route')];
  const fresh = earlier ? recompile(earlier, routes) : compile(routes.sort(bySpecificity));
  configuration.derived.set(COMPILED, fresh);
  return fresh;
}

/**
 * Compiles a version from the one before it. Changing one route of thousands takes one pass and the
 * table of one host. Each changed host takes another pass, so if many change, all tables are rebuilt
 * in a single pass.
 */
function recompile(earlier: CompiledRoutes, routes: readonly Route[]): CompiledRoutes {
  const previous = new Set(earlier.sorted);
  const current = new Set(routes);
  const removed = earlier.sorted.filter((route) => !current.has(route));
  const added = routes.filter((route) => !previous.has(route));
  if (removed.length + added.length === 0) return earlier;
  const kept = earlier.sorted.filter((route) => current.has(route));
  const sorted = mergeSorted(kept, added);
  const hosts = new Set([...removed, ...added].map(hostOf));
  // Routes without a host are in the tables of all hosts.
  if (hosts.has(undefined) || hosts.size > MAX_REBUILT_HOSTS) return compile(sorted);
  const byHost = new Map(earlier.byHost);
  const hostless = sorted.filter(({ host }) => host === undefined);
  for (const host of hosts) {
    const own = sorted.filter((route) => hostOf(route) === host);
    if (own.length === 0) byHost.delete(host!);
    else byHost.set(host!, buildTable([...own, ...hostless]));
  }
  return { sorted, byHost, anyHost: earlier.anyHost };
}

/** Adds routes to a list ordered by specificity. */
function mergeSorted(sorted: readonly Route[], added: readonly Route[]): Route[] {
  if (added.length > MAX_INSERTED_ROUTES) return [...sorted, ...added].sort(bySpecificity);
  const all = [...sorted];
  for (const route of added) {
    const place = firstIndex(all.length, (index) => bySpecificity(all[index]!, route) >= 0);
    all.splice(place, 0, route);
  }
  return all;
}

function hostOf({ host }: Route): string | undefined {
  return host?.toLowerCase();
}

function compile(sorted: readonly Route[]): CompiledRoutes {
  const routesByHost = new Map<string, Route[]>();
  const hostless: Route[] = [];
  for (const route of sorted) {
    const host = hostOf(route);
    if (host === undefined) hostless.push(route);
    else getOrCreateList(routesByHost, host, []).push(route);
  }
  const byHost = new Map<string, RouteTable>();
  // Routes with a host are more specific, so those without one follow them.
  for (const [host, own] of routesByHost) byHost.set(host, buildTable([...own, ...hostless]));
  return { sorted, byHost, anyHost: buildTable(hostless) };
}

/** Builds a table in one pass: a version that changes one route of thousands must not delay requests. */
function buildTable(routes: readonly Route[]): RouteTable {
  const others: Route[] = [];
  const bySegment = new Map<string, Route[]>();
  for (const route of routes) {
    const segment = firstSegment(route.pathPrefix);
    if (segment !== '') getOrCreateList(bySegment, segment, others).push(route);
    else {
      for (const list of bySegment.values()) list.push(route);
      others.push(route);
    }
  }
  return { bySegment, others };
}

/** The list of a key; a new one starts with the routes in `initial`. */
function getOrCreateList(
  lists: Map<string, Route[]>,
  key: string,
  initial: readonly Route[],
): Route[] {
  let list = lists.get(key);
  if (!list) {
    list = [...initial];
    lists.set(key, list);
  }
  return list;
}

function firstSegment(path: string): string {
  const end = path.indexOf('/', 1);
  return end < 0 ? path.slice(1) : path.slice(1, end);
}

function bySpecificity(a: Route, b: Route): number {
  return (
    Number(b.host !== undefined) - Number(a.host !== undefined) ||
    b.pathPrefix.length - a.pathPrefix.length ||
    conditions(b) - conditions(a) ||
    Number(b.methods !== undefined) - Number(a.methods !== undefined) ||
    (a.name < b.name ? -1 : 1)
  );
}

function conditions(route: Route): number {
  return Object.keys(route.headers ?? {}).length;
}

/** Whether the route matches the target; its host has been checked before. */
function matches(route: Route, { method, path, headers }: Target): boolean {
  if (!hasPathPrefix(path, route.pathPrefix)) return false;
  if (route.methods && !route.methods.includes(method)) return false;
  if (!route.headers) return true;
  return Object.entries(route.headers).every(([name, value]) => headers[name] === value);
}

/** Whether the prefix covers the path: `/menus` covers `/menus` and `/menus/today`, not `/menuscript`. */
function hasPathPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return path.length === prefix.length || prefix.endsWith('/') || path[prefix.length] === '/';
}

/** Finds the route of a request in the configuration in force. */
import { type IncomingHttpHeaders } from 'node:http';
import { type Configuration } from '../configuration/configuration.js';
import { type Route } from '../contracts.js';
import { firstIndex } from '../runtime/search.js';

/** What routing looks at. */
export interface Target {
  readonly method: string;
  /** In lower case, without port. */
  readonly host: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
}

/** Routes by first path segment, each list in order of specificity. */
interface Table {
  readonly bySegment: ReadonlyMap<string, readonly Route[]>;
  /** Those whose prefix is `/`: they cover segments that no other route names. */
  readonly others: readonly Route[];
}

/** Tables by host; `anyHost` holds the routes that name none. */
interface Compiled {
  /** All routes in order of specificity. */
  readonly sorted: readonly Route[];
  readonly byHost: ReadonlyMap<string, Table>;
  readonly anyHost: Table;
}

const COMPILED = Symbol('compiled routes');
/** Routes that are new up to which each is put in its place; beyond, all are sorted again. */
const FEW_ROUTES = 64;
/** Hosts that change up to which only their tables are made anew. */
const FEW_HOSTS = 8;
const REPEATABLE_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
]);

/**
 * The route for a request: the most specific one that matches. A host goes before none, then the
 * longer prefix, then more header conditions, then a method list, then the name.
 */
export function routeOf(configuration: Configuration, target: Target): Route | undefined {
  const { byHost, anyHost } = compiled(configuration);
  const { bySegment, others } = byHost.get(target.host) ?? anyHost;
  const routes = bySegment.get(firstSegment(target.path)) ?? others;
  return routes.find((route) => matches(route, target));
}

/** Whether a request of that method may be run twice under the route. */
export function isRepeatable(route: Route, method: string): boolean {
  return route.repeatable ?? REPEATABLE_METHODS.has(method);
}

function compiled(configuration: Configuration): Compiled {
  const known = configuration.derived.get(COMPILED) as Compiled | undefined;
  if (known) return known;
  const earlier = configuration.earlier(COMPILED) as Compiled | undefined;
  const routes = [...configuration.all('route')];
  const fresh = earlier ? recompile(earlier, routes) : compile(routes.sort(bySpecificity));
  configuration.derived.set(COMPILED, fresh);
  return fresh;
}

/**
 * A version that changes one route of thousands costs a pass, and the table of one host. Each host
 * costs a pass more, so where many change the tables of all are made anew, in one.
 */
function recompile(earlier: Compiled, routes: readonly Route[]): Compiled {
  const before = new Set(earlier.sorted);
  const now = new Set(routes);
  const gone = earlier.sorted.filter((route) => !now.has(route));
  const added = routes.filter((route) => !before.has(route));
  if (gone.length + added.length === 0) return earlier;
  const kept = earlier.sorted.filter((route) => now.has(route));
  const sorted = merged(kept, added);
  const hosts = new Set([...gone, ...added].map(hostOf));
  // Routes without a host stand in the tables of all hosts.
  if (hosts.has(undefined) || hosts.size > FEW_HOSTS) return compile(sorted);
  const byHost = new Map(earlier.byHost);
  const ofAny = sorted.filter(({ host }) => host === undefined);
  for (const host of hosts) {
    const own = sorted.filter((route) => hostOf(route) === host);
    if (own.length === 0) byHost.delete(host!);
    else byHost.set(host!, tableOf([...own, ...ofAny]));
  }
  return { sorted, byHost, anyHost: earlier.anyHost };
}

/** Routes in order of specificity, with some more in their places among them. */
function merged(sorted: readonly Route[], added: readonly Route[]): Route[] {
  if (added.length > FEW_ROUTES) return [...sorted, ...added].sort(bySpecificity);
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

function compile(sorted: readonly Route[]): Compiled {
  const ofHost = new Map<string, Route[]>();
  const ofAny: Route[] = [];
  for (const route of sorted) {
    const host = hostOf(route);
    if (host === undefined) ofAny.push(route);
    else listIn(ofHost, host, []).push(route);
  }
  const byHost = new Map<string, Table>();
  // Routes that name a host are the more specific ones, so the others come behind them.
  for (const [host, own] of ofHost) byHost.set(host, tableOf([...own, ...ofAny]));
  return { sorted, byHost, anyHost: tableOf(ofAny) };
}

/** One pass: a version that changes one route of thousands must not hold up requests. */
function tableOf(routes: readonly Route[]): Table {
  const others: Route[] = [];
  const bySegment = new Map<string, Route[]>();
  for (const route of routes) {
    const segment = firstSegment(route.pathPrefix);
    if (segment !== '') listIn(bySegment, segment, others).push(route);
    else {
      for (const list of bySegment.values()) list.push(route);
      others.push(route);
    }
  }
  return { bySegment, others };
}

/** The list of a key; it begins with what is in `before`. */
function listIn(lists: Map<string, Route[]>, key: string, before: readonly Route[]): Route[] {
  let list = lists.get(key);
  if (!list) {
    list = [...before];
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

/** Whether the route covers the target; its host has been looked at already. */
function matches(route: Route, { method, path, headers }: Target): boolean {
  if (!underPrefix(path, route.pathPrefix)) return false;
  if (route.methods && !route.methods.includes(method)) return false;
  if (!route.headers) return true;
  return Object.entries(route.headers).every(([name, value]) => headers[name] === value);
}

/** `/menus` covers `/menus` and `/menus/today`, not `/menuscript`. */
function underPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return path.length === prefix.length || prefix.endsWith('/') || path[prefix.length] === '/';
}

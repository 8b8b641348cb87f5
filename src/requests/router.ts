/** Finds the route of a request in the configuration in force. */
import { type IncomingHttpHeaders } from 'node:http';
import { type Configuration } from '../configuration/configuration.js';
import { type Route } from '../contracts.js';

/** What routing looks at. */
export interface Target {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
}

const COMPILED = Symbol('compiled routes');
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
  return compiled(configuration).find((route) => matches(route, target));
}

/** Whether a request of that method may be run twice under the route. */
export function isRepeatable(route: Route, method: string): boolean {
  return route.repeatable ?? REPEATABLE_METHODS.has(method);
}

function compiled(configuration: Configuration): readonly Route[] {
  const known = configuration.derived.get(COMPILED) as readonly Route[] | undefined;
  if (known) return known;
  const routes = [...configuration.all('route')].sort(bySpecificity);
  configuration.derived.set(COMPILED, routes);
  return routes;
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

function matches(route: Route, { method, host, path, headers }: Target): boolean {
  if (route.host !== undefined && route.host !== host) return false;
  if (!underPrefix(path, route.pathPrefix)) return false;
  if (route.methods && !route.methods.includes(method)) return false;
  return Object.entries(route.headers ?? {}).every(([name, value]) => headers[name] === value);
}

/** `/menus` covers `/menus` and `/menus/today`, not `/menuscript`. */
function underPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return path.length === prefix.length || prefix.endsWith('/') || path[prefix.length] === '/';
}

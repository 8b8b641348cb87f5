import * as fc from 'fast-check';
import { expect } from 'chai';
import { Configuration } from '../../configuration/configuration.js';
import { Route } from '../../contracts.js';
import { routeOf, type Target } from '../../requests/router.js';

const SEED = 5;
/** Bound on reads per route; sorting thousands of routes reads each some twenty times. */
const MAX_READS_PER_ROUTE = 64;

function route(name: string, rest: Partial<Route>): Route {
  return Route.parse({ kind: 'route', name, pathPrefix: '/', upstream: 'bookings', ...rest });
}

const configurationOf = (routes: readonly Route[]) => Configuration.of(1, 'digest', routes);

const targetOf = (path: string, rest: Partial<Target> = {}): Target => ({
  method: 'GET',
  host: 'suppers.example',
  path,
  headers: {},
  ...rest,
});

describe('routeOf', () => {
  const configuration = configurationOf([
    route('all', {}),
    route('menus', { pathPrefix: '/menus' }),
    route('today', { pathPrefix: '/menus/today' }),
    route('host', { host: 'Other.example' }),
    route('post', { pathPrefix: '/menus', methods: ['POST'] }),
    route('beta', { pathPrefix: '/menus', headers: { 'x-beta': '1' } }),
  ]);

  it('chooses the most specific matching route', () => {
    const targets = [
      targetOf('/'),
      targetOf('/menuscript'),
      targetOf('/menus'),
      targetOf('/menus/today/1'),
      targetOf('/menus/1', { method: 'POST' }),
      targetOf('/menus/1', { headers: { 'x-beta': '1' } }),
      targetOf('/menus/today', { host: 'other.example' }),
    ];
    const names = targets.map((target) => routeOf(configuration, target)?.name);
    expect(names).toMatchSnapshot();
  });

  // Guards against quadratic sorting, which delays requests at each new version: comparing all pairs
  // of 1,126 routes of one host took 90 ms of work, a third of a second on a quarter of a core.
  it('reads each route a bounded number of times for a new version', () => {
    const count = 2_000;
    let looks = 0;
    const routes = Array.from({ length: count }, (_, index) => {
      const pathPrefix = `/p${index}/`;
      const get = () => {
        looks += 1;
        return pathPrefix;
      };
      const one = route(`r${index}`, { host: 'suppers.example' });
      return Object.defineProperty(one, 'pathPrefix', { get, enumerable: true });
    });
    const many = configurationOf(routes);
    looks = 0;
    expect(routeOf(many, targetOf('/p7/x'))?.name).to.equal('r7');
    expect(looks / count).to.be.lessThan(MAX_READS_PER_ROUTE);
  });

  // Guards against a version with many new hosts that delays all requests until its tables are built.
  it('reads each route a bounded number of times for a version with many new hosts', () => {
    let looks = 0;
    const counted = (name: string) =>
      new Proxy(route(name, { host: `${name}.example` }), {
        get(target, property) {
          if (property === 'host') looks += 1;
          return target[property as keyof Route];
        },
      });
    const names = (count: number, tag: string) =>
      Array.from({ length: count }, (_, index) => counted(`${tag}${index}`));
    const before = configurationOf(names(1_000, 'a'));
    routeOf(before, targetOf('/'));
    const after = before.next({ put: names(1_000, 'b'), remove: [] });
    looks = 0;
    routeOf(after, targetOf('/'));
    expect(looks).to.be.lessThan(2_000 * MAX_READS_PER_ROUTE);
  });

  // Guards against tables by host and first path segment that find another route than a full search.
  it('finds the same route as a linear search', () => {
    const path = fc
      .array(fc.constantFrom('a', 'b', 'ab', ''), { maxLength: 3 })
      .map((parts) => `/${parts.join('/')}`);
    const host = fc.constantFrom(undefined, 'a.example', 'b.example');
    const methods = fc.constantFrom<string[] | undefined>(undefined, ['GET'], ['POST']);
    const routes = fc.array(fc.record({ pathPrefix: path, host, methods }), { maxLength: 8 });
    const target = fc.record({ path, host: fc.constantFrom('a.example', 'c.example') });
    const property = fc.property(routes, target, (parts, asked) => {
      const all = parts.map((part, index) => route(`r${index}`, part));
      const found = routeOf(configurationOf(all), targetOf(asked.path, asked));
      const covers = ({ pathPrefix, host: only, methods: some }: Route) =>
        (only === undefined || only === asked.host) &&
        (some === undefined || some.includes('GET')) &&
        (asked.path === pathPrefix || asked.path.startsWith(pathPrefix.replace(/\/?$/, '/')));
      const rank = ({ host: only, pathPrefix, methods: some }: Route) =>
        [only ? 1 : 0, pathPrefix.length, some ? 1 : 0] as const;
      const matching = all.filter(covers).sort((x, y) => {
        const [a, b] = [rank(x), rank(y)];
        return b[0] - a[0] || b[1] - a[1] || b[2] - a[2] || (x.name < y.name ? -1 : 1);
      });
      expect(found?.name).to.equal(matching[0]?.name);
    });
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });

  // Guards against tables compiled from the previous version that lead to other routes.
  it('finds the same route after incremental compilation as after a full one', () => {
    const hosts = fc.constantFrom(undefined, 'a.example', 'B.example');
    const one = fc
      .record({ name: fc.constantFrom('k', 'l', 'm', 'n', 'o'), host: hosts, depth: fc.nat(2) })
      .map(({ name, host, depth }) =>
        route(name, { pathPrefix: ['/', '/menus', '/menus/today'][depth]!, ...(host && { host }) }),
      );
    const changes = fc.array(
      fc.record({
        put: fc.array(one, { maxLength: 3 }),
        remove: fc.array(
          one.map(({ name }) => `route/${name}`),
          { maxLength: 1 },
        ),
      }),
      { maxLength: 10 },
    );
    const targets = ['/', '/menus', '/menus/today/1', '/other'].flatMap((path) =>
      ['a.example', 'b.example', 'c.example'].map((host) => targetOf(path, { host })),
    );
    const routeNames = (held: Configuration) =>
      targets.map((target) => routeOf(held, target)?.name);
    fc.assert(
      fc.property(changes, (versions) => {
        let held = configuration;
        for (const change of versions) {
          held = held.next(change);
          expect(routeNames(held)).to.deep.equal(
            routeNames(configurationOf(held.resources() as Route[])),
          );
        }
      }),
      { seed: SEED },
    );
  });
});

import { expect } from 'chai';
import fc from 'fast-check';
import { Route } from '../../contracts.js';
import { Split } from '../../placement/split.js';

function routeOf(weights: readonly number[]): Route {
  const split = weights.map((weight, index) => ({ upstream: `part-${index}`, weight }));
  return Route.parse({ kind: 'route', name: 'menus', pathPrefix: '/', upstream: 'part-0', split });
}

describe('Split', () => {
  // Guards against random choices: on a route with few requests a part with a tenth of them would get
  // none for a while, and then several in a row.
  it('keeps the requests of each part close to its share after any number (property)', () => {
    const weights = fc
      .array(fc.nat(100), { minLength: 1, maxLength: 5 })
      .filter((all) => all.some((weight) => weight > 0));
    const property = fc.property(weights, fc.integer({ min: 1, max: 200 }), (all, requests) => {
      const split = new Split();
      const route = routeOf(all);
      const total = all.reduce((sum, weight) => sum + weight, 0);
      const counts = new Map<string, number>();
      for (let request = 1; request <= requests; request++) {
        const upstream = split.choose(route);
        counts.set(upstream, (counts.get(upstream) ?? 0) + 1);
      }
      all.forEach((weight, index) => {
        const share = (weight / total) * requests;
        const count = counts.get(`part-${index}`) ?? 0;
        expect(Math.abs(count - share)).to.be.below(all.length);
        if (weight === 0) expect(count).to.equal(0);
      });
    });
    fc.assert(property, { seed: 4, numRuns: 200 });
  });

  it('starts over when the weights change', () => {
    const split = new Split();
    for (let request = 0; request < 7; request++) split.choose(routeOf([90, 10]));
    const later = Array.from({ length: 4 }, () => split.choose(routeOf([0, 1])));
    expect(new Set(later)).to.deep.equal(new Set(['part-1']));
  });
});

import { expect } from 'chai';
import { Configuration } from '../../configuration/configuration.js';
import { validate } from '../../configuration/validate.js';
import { Route, Rule, Upstream } from '../../contracts.js';

const listings = Upstream.parse({ kind: 'upstream', name: 'listings' });
const menus = Route.parse({
  kind: 'route',
  name: 'menus',
  pathPrefix: '/menus',
  upstream: 'listings',
});

describe('Configuration', () => {
  it('has a digest that depends on history and content, not on the order of resources', () => {
    const one = Configuration.empty.next({ put: [listings, menus], remove: [] });
    const other = Configuration.empty.next({ put: [menus, listings], remove: [] });
    expect(one.digest).to.equal(other.digest);
    expect(one.next({ put: [], remove: [] }).digest).not.to.equal(one.digest);
    expect(one.digest).toMatchSnapshot();
  });

  it('notices a resource that differs from the digested one', () => {
    const one = Configuration.empty.next({ put: [listings, menus], remove: [] });
    const forged = Configuration.of(1, one.digest, [listings, { ...menus, timeoutMs: 1 }]);
    expect(one.matches(Configuration.empty.digest)).to.equal(true);
    expect(forged.matches(Configuration.empty.digest)).to.equal(false);
  });
});

describe('validate', () => {
  it('lists every dangling reference by path', () => {
    const route = { ...menus, limit: 'gone', rules: ['none'] };
    const configuration = Configuration.empty.next({ put: [route], remove: [] });
    expect(validate(configuration)).toMatchSnapshot();
  });

  it("holds routes to the insurer's rules", () => {
    const rule = Rule.parse({
      kind: 'rule',
      name: 'bookings-once',
      everywhere: true,
      requireLimit: true,
      maxTimeoutMs: 500,
      requireNotRepeatable: true,
      requireKey: true,
    });
    const configuration = Configuration.empty.next({ put: [listings, menus, rule], remove: [] });
    expect(validate(configuration)).toMatchSnapshot();
  });
});

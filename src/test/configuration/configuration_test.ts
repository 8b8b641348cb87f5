import * as fc from 'fast-check';
import { expect } from 'chai';
import { Configuration } from '../../configuration/configuration.js';
import { validate, validateChange } from '../../configuration/validate.js';
import {
  AcceptedTeam,
  type Change,
  Limit,
  type Resource,
  resourceKey,
  Route,
  Rule,
  Team,
  Upstream,
} from '../../contracts.js';

const SEED = 17;

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

  it('detects a resource that does not match the digest', () => {
    const one = Configuration.empty.next({ put: [listings, menus], remove: [] });
    const forged = Configuration.of(1, one.digest, [listings, { ...menus, timeoutMs: 1 }]);
    expect(one.matchesDigest(Configuration.empty.digest)).to.equal(true);
    expect(forged.matchesDigest(Configuration.empty.digest)).to.equal(false);
  });
});

const name = fc.constantFrom('a', 'b', 'c', 'd');
const resource: fc.Arbitrary<Resource> = fc.oneof(
  name.map((of) => Upstream.parse({ kind: 'upstream', name: of })),
  fc
    .tuple(name, fc.integer({ min: 1, max: 9 }))
    .map(([of, slots]) => Limit.parse({ kind: 'limit', name: of, slots })),
  fc
    .tuple(name, fc.boolean())
    .map(([of, requireLimit]) =>
      Rule.parse({ kind: 'rule', name: of, everywhere: true, requireLimit }),
    ),
  fc
    .tuple(name, fc.array(fc.constantFrom('0', '1', '2', '3'), { maxLength: 2 }))
    .map(([of, digits]) =>
      Team.parse({ kind: 'team', name: of, keyDigests: digits.map((digit) => digit.repeat(64)) }),
    ),
  fc.tuple(name, name, fc.option(name)).map(([of, upstream, limit]) =>
    Route.parse({
      kind: 'route',
      name: of,
      pathPrefix: `/${of}`,
      upstream,
      ...(limit !== null && { limit }),
    }),
  ),
);
const change: fc.Arbitrary<Change> = fc.record({
  put: fc.array(resource, { maxLength: 4 }),
  remove: fc.array(resource.map(resourceKey), { maxLength: 2 }),
});

describe('a configuration computed from the previous one', () => {
  const history = fc.array(change, { minLength: 1, maxLength: 12 });

  // Guards against an incremental computation whose result differs from the accepted version.
  it('equals one that is computed from scratch', () => {
    fc.assert(
      fc.property(history, (changes) => {
        let held = Configuration.empty;
        for (const next of changes) {
          held = held.next(next);
          const rebuilt = Configuration.of(held.number, held.digest, held.resources());
          const keys = held.resources().map(resourceKey);
          expect(keys).to.deep.equal([...keys].sort());
          expect([rebuilt.stateDigest, rebuilt.bytes, rebuilt.size]).to.deep.equal([
            held.stateDigest,
            held.bytes,
            held.size,
          ]);
        }
      }),
      { seed: SEED },
    );
  });

  // Guards against an incremental validation that accepts what a full one refuses, or the reverse.
  it('has problems if and only if a full validation finds some', () => {
    fc.assert(
      fc.property(history, (changes) => {
        let held = Configuration.empty;
        for (const next of changes) {
          const candidate = held.next(next);
          const problems = validate(candidate);
          const found = validateChange(candidate, next);
          expect(found.length > 0).to.equal(problems.length > 0);
          if (problems.length === 0) held = candidate;
        }
      }),
      { seed: SEED },
    );
  });
});

describe('validate', () => {
  it('lists every dangling reference by path', () => {
    const route = { ...menus, limit: 'gone', rules: ['none'] };
    const configuration = Configuration.empty.next({ put: [route], remove: [] });
    expect(validate(configuration)).toMatchSnapshot();
  });

  it("checks routes against the insurer's rules", () => {
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

  // Guards against a key that identifies whichever of two teams is read last.
  it('refuses a key that is listed twice, and names the teams', () => {
    const teams = [
      { name: 'pulo780', digits: ['1', '2', '1'] },
      { name: 'rana', digits: ['3', '2'] },
      { name: 'without-keys', digits: [] },
    ].map(({ name: of, digits }) =>
      Team.parse({ kind: 'team', name: of, keyDigests: digits.map((digit) => digit.repeat(64)) }),
    );
    const sharing = { put: teams, remove: [] };
    const configuration = Configuration.empty.next(sharing);
    expect(validate(configuration)).toMatchSnapshot();
    expect(validateChange(configuration, sharing)).to.deep.equal(validate(configuration));
  });

  // Guards against figures that no limit or order can be computed with.
  it('refuses a team with keys, a priority or a quota out of range', () => {
    const invalid: object[] = [
      ...['A'.repeat(64), 'a'.repeat(63), 'a'.repeat(65), ''].map((d) => ({ keyDigests: [d] })),
      { keyDigests: Array.from({ length: 65 }, (_, i) => String(i).padStart(64, '0')) },
      ...[-1, 10, 0.5, NaN].map((priority) => ({ priority })),
      ...[-1, 1_000_001, Infinity, NaN].flatMap((n) => [{ requestsPerSecond: n }, { burst: n }]),
    ];
    const team = { name: 'pulo780', keyDigests: [] };
    const accepted = invalid.filter(
      (fields) => AcceptedTeam.safeParse({ ...team, ...fields }).success,
    );
    expect(accepted).to.deep.equal([]);
    const whole = { ...team, priority: 0, requestsPerSecond: 1_000_000, burst: 0 };
    expect(AcceptedTeam.parse(whole)).to.deep.equal(whole);
  });
});

import { expect } from 'chai';
import { Configuration } from '../../configuration/configuration.js';
import { type Change, Route, Upstream, type Version } from '../../contracts.js';
import { Replica } from '../../distribution/replica.js';

const listings = Upstream.parse({ kind: 'upstream', name: 'listings' });
const menus = Route.parse({
  kind: 'route',
  name: 'menus',
  pathPrefix: '/menus',
  upstream: 'listings',
});

function versionAfter(before: Configuration, change: Change): Version {
  const { number, digest } = before.next(change);
  return { number, parent: before.digest, digest, note: 'note', acceptedAt: 0, change };
}

describe('Replica', () => {
  // What comes in is corrupt, dangling, from another chain or too large. Each is refused whole,
  // with its reason, and what was in force before stays so, to the byte.
  it('refuses what is not the next version, whole and with the reason', () => {
    const { empty } = Configuration;
    const first = versionAfter(empty, { put: [listings], remove: [] });
    const held = empty.next(first.change);
    const next = versionAfter(held, { put: [menus], remove: [] });
    const many = Array.from({ length: 20_001 }, (_, index) => ({ ...listings, name: `u${index}` }));
    const bad: Record<string, Version[]> = {
      'another content': [{ ...next, change: { put: [], remove: [] } }],
      'another parent': [{ ...next, parent: next.digest }],
      'another version of the same number': [{ ...first, digest: next.digest }],
      'a dangling route': [versionAfter(held, { put: [menus], remove: ['upstream/listings'] })],
      'too many resources': [{ ...next, change: { put: many, remove: [] } }],
      'a gap': [{ ...next, number: 3 }],
    };
    const outcomes = Object.entries(bad).map(([name, versions]) => {
      const replica = new Replica();
      replica.apply([first]);
      const isWhole = replica.apply(versions);
      const { number, digest } = replica.current;
      expect([number, digest]).to.deep.equal([1, first.digest]);
      return { name, isWhole, refusal: replica.refusal };
    });
    expect(outcomes).toMatchSnapshot();
  });

  it('refuses a snapshot that is not what its digest says, or that dangles', () => {
    const held = Configuration.empty.next({ put: [menus], remove: [] });
    const { number, digest } = held;
    const parent = Configuration.empty.digest;
    const replica = new Replica();
    expect(replica.install({ number, digest, parent, resources: [listings] })).to.equal(false);
    expect(replica.refusal?.reason).to.equal('digest');
    expect(replica.install({ number, digest, parent, resources: [menus] })).to.equal(false);
    expect(replica.refusal?.reason).to.equal('invalid');
    expect(replica.current).to.equal(Configuration.empty);
  });
});

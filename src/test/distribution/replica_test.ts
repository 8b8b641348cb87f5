import { expect } from 'chai';
import fc from 'fast-check';
import { Configuration } from '../../configuration/configuration.js';
import { type Change, Route, Upstream, type Version } from '../../contracts.js';
import { differingBuckets } from '../../configuration/summary.js';
import { Replica } from '../../distribution/replica.js';
import { takeFaults } from '../faults.js';

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
  // Guards against a corrupt, dangling, foreign or too large version being applied, even in part,
  // or being refused without its reason.
  it('refuses anything but the next version as a whole, with the reason', () => {
    const { empty } = Configuration;
    const first = versionAfter(empty, { put: [listings], remove: [] });
    const held = empty.next(first.change);
    const next = versionAfter(held, { put: [menus], remove: [] });
    const large = { ...listings, about: 'x'.repeat(16_000_000) };
    const bad: Record<string, Version[]> = {
      'another content': [{ ...next, change: { put: [], remove: [] } }],
      'another parent': [{ ...next, parent: next.digest }],
      'another version of the same number': [{ ...first, digest: next.digest }],
      'a dangling route': [versionAfter(held, { put: [menus], remove: ['upstream/listings'] })],
      'more than fits into memory': [{ ...next, change: { put: [large], remove: [] } }],
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

  // Guards against a version that children, guards and quotas never hear of, and a reader that takes it for
  // unreadable, since one listener throws.
  it('tells all listeners of a version though one of them throws', () => {
    const replica = new Replica();
    const heard: string[] = [];
    replica.onApplied(() => {
      throw new Error('broken');
    });
    replica.onApplied(([version]) => heard.push(version!.digest));
    const first = versionAfter(Configuration.empty, { put: [listings], remove: [] });
    expect(replica.apply([first])).to.equal(true);
    expect(heard).to.deep.equal([first.digest]);
    expect(takeFaults().map(({ place }) => place)).to.deep.equal(['applied version']);
  });

  // Guards against a process that runs out of memory by keeping recent versions with large resources.
  it('keeps recent versions up to a number of bytes, and the latest in any case', () => {
    const replica = new Replica();
    for (const [number, length] of [1, 2, 3, 4, 5, 6].map((each) => [each, 4_000_000] as const)) {
      replica.replace(number, [{ ...listings, about: String(number).repeat(length) }], 0);
    }
    const kept = [0, 1, 2, 3, 4, 5].filter((number) => replica.since(number) !== undefined);
    expect(kept).to.deep.equal([3, 4, 5]);
    replica.replace(7, [{ ...listings, about: 'x'.repeat(15_900_000) }], 0);
    expect([replica.since(5), replica.since(6)?.length]).to.deep.equal([undefined, 1]);
  });

  it('refuses a snapshot that does not match its digest, or that has dangling references', () => {
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

  // Guards against a difference that does not produce exactly the peer's configuration, or that is
  // not passed on as a change.
  it('applies the difference to a peer that holds any other version (property)', () => {
    const contents = fc.uniqueArray(fc.integer({ min: 0, max: 60 }), { maxLength: 40 });
    const resources = (indices: readonly number[], tag: number) =>
      indices.map((index) =>
        Upstream.parse({ kind: 'upstream', name: `u-${index}`, about: `${index % tag}` }),
      );
    const property = fc.property(contents, contents, fc.boolean(), (held, wanted, isChained) => {
      const [behind, ahead] = [new Replica(), new Replica()];
      behind.replace(24, resources(held, 5), 0);
      if (isChained)
        ahead.apply([versionAfter(Configuration.empty, { put: [listings], remove: [] })]);
      ahead.replace(27, resources(wanted, 3), 0);
      const { current, parent } = ahead;
      const buckets = differingBuckets(behind.current.summary, current.summary);
      const { number, digest } = current;
      const difference = {
        number,
        digest,
        parent,
        buckets,
        resources: current.resourcesIn(buckets),
      };
      expect(behind.applyDifference(difference, 0)).to.equal(true);
      expect(behind.current.digest).to.equal(digest);
      expect(behind.since(24)?.length).to.equal(1);
    });
    fc.assert(property, { seed: 24, numRuns: 60 });
  });

  it('refuses a difference that does not match its digest, and keeps its configuration', () => {
    const [behind, ahead] = [new Replica(), new Replica()];
    behind.replace(24, [listings], 0);
    ahead.replace(27, [listings, menus], 0);
    const { number, digest } = ahead.current;
    const difference = { number, digest, parent: ahead.parent, buckets: [], resources: [] };
    expect(behind.applyDifference(difference, 0)).to.equal(false);
    expect([behind.current.number, behind.refusal?.reason]).to.deep.equal([24, 'digest']);
  });
});

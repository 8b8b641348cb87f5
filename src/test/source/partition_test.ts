import { expect } from 'chai';
import fc from 'fast-check';
import { type Resource, resourceKey } from '../../contracts.js';
import { MAX_PART_BYTES, partition } from '../../source/partition.js';

const SEED = 20_261_202;

function upstream(index: number, about: string): Resource {
  return { kind: 'upstream', name: `u-${String(index).padStart(6, '0')}`, about };
}

function pivotsOf(groups: readonly (readonly Resource[])[]): string[] {
  return groups.map((group) => resourceKey(group[0]!));
}

describe('partition', () => {
  it('keeps every resource, in order, in parts that fit, whatever the pivots', () => {
    const indexes = fc.uniqueArray(fc.integer({ min: 0, max: 99_999 }), { maxLength: 300 });
    const property = fc.property(indexes, indexes, (chosen, pivots) => {
      const ordered = [...chosen].sort((a, b) => a - b);
      const resources = ordered.map((index) => upstream(index, 'x'.repeat((index % 7) * 300)));
      const keys = [...pivots]
        .sort((a, b) => a - b)
        .map((index) => resourceKey(upstream(index, '')));
      const groups = partition(resources, keys);
      expect(groups.flat()).to.deep.equal(resources);
      for (const group of groups) {
        expect(group).to.have.length.above(0);
        expect(JSON.stringify(group).length).to.be.at.most(MAX_PART_BYTES + 2);
      }
    });
    fc.assert(property, { seed: SEED, numRuns: 50 });
  });

  it('does not change parts whose range has not changed', () => {
    const resources = Array.from({ length: 5_000 }, (_, index) =>
      upstream(index * 2, 'x'.repeat(250)),
    );
    const before = partition(resources, []);
    const added = Array.from({ length: 100 }, (_, index) => upstream(4_001 + index * 2, 'new'));
    const grown = [...resources, ...added].sort((a, b) => (a.name < b.name ? -1 : 1));
    const after = partition(grown, pivotsOf(before));
    const known = new Set(before.map((group) => JSON.stringify(group)));
    const rewritten = after.filter((group) => !known.has(JSON.stringify(group)));
    expect(after).to.have.length(before.length);
    expect(rewritten).to.have.length(1);
  });

  it('merges adjacent small parts', () => {
    const resources = Array.from({ length: 5_000 }, (_, index) => upstream(index, 'x'.repeat(250)));
    const pivots = pivotsOf(partition(resources, []));
    const left = resources.filter((_, index) => index % 100 === 0);
    expect(partition(left, pivots)).to.have.length(1);
  });
});

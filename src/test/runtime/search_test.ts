import * as fc from 'fast-check';
import { expect } from 'chai';
import { firstIndex } from '../../runtime/search.js';

const SEED = 13;

describe('firstIndex', () => {
  it('finds the same index as a linear search', () => {
    const sorted = fc
      .array(fc.integer({ min: 0, max: 20 }))
      .map((list) => list.sort((a, b) => a - b));
    fc.assert(
      fc.property(sorted, fc.integer({ min: -1, max: 21 }), (list, wanted) => {
        const plain = list.findIndex((value) => value >= wanted);
        const found = firstIndex(list.length, (index) => list[index]! >= wanted);
        expect(found).to.equal(plain < 0 ? list.length : plain);
      }),
      { seed: SEED },
    );
  });
});

import { expect } from 'chai';
import { readLoad, writeLoad } from '../../admission/load.js';

describe('Load', () => {
  const load = { inFlight: 3, slots: 13, waiting: 2, heldMs: 340, leavingMs: 1_250 };

  it('is read as it was written', () => {
    expect(readLoad(writeLoad(load))).to.deep.equal(load);
  });

  // While processes are replaced in turn, old ones tell nothing of their link yet.
  it('is read from a process that says nothing of its link', () => {
    expect(readLoad('3,13,2,340')).to.deep.equal({ ...load, leavingMs: 0 });
  });

  it('is nothing where the text is none', () => {
    const texts = [undefined, '', '3,13', '3,13,2,340,', '3,13,2,340,1,1', 'a,13,2,340'];
    expect(texts.map(readLoad)).to.deep.equal(texts.map(() => undefined));
  });
});

import { expect } from 'chai';
import { parseLoad, formatLoad } from '../../admission/load.js';

describe('Load', () => {
  const load = { inFlight: 3, slots: 13, waiting: 2, heldMs: 340, leavingMs: 1_250 };

  it('parses what it has formatted', () => {
    expect(parseLoad(formatLoad(load))).to.deep.equal(load);
  });

  // Guards against an upgrade that breaks: processes of older versions do not report `leavingMs` yet.
  it('parses a load without the time of the uplink', () => {
    expect(parseLoad('3,13,2,340')).to.deep.equal({ ...load, leavingMs: 0 });
  });

  it('rejects any other text', () => {
    const texts = [undefined, '', '3,13', '3,13,2,340,', '3,13,2,340,1,1', 'a,13,2,340'];
    expect(texts.map(parseLoad)).to.deep.equal(texts.map(() => undefined));
  });
});

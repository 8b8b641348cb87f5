import { expect } from 'chai';
import { parseLoad, formatLoad, formatRate } from '../../admission/load.js';

describe('Load', () => {
  const load = { inFlight: 3, slots: 13, waiting: 2, heldMs: 340, leavingMs: 1_250 };

  it('parses what it has formatted', () => {
    expect(parseLoad(formatLoad(load))).to.deep.equal(load);
  });

  // Guards against an upgrade that breaks: processes of older versions do not report `leavingMs` yet.
  it('parses a load without the time of the uplink', () => {
    expect(parseLoad('3,13,2,340')).to.deep.equal({ ...load, leavingMs: 0 });
  });

  it('parses the rate that it has formatted, and leaves out an invalid one', () => {
    const rate = { perSecond: 23.7, waitMs: 120 };
    expect(parseLoad(formatLoad(load), formatRate(rate))).to.deep.equal({ ...load, rate });
    for (const text of ['', '23.7', '0,120', 'many,1', '1.2.3,1', '23.7,-1']) {
      expect(parseLoad(formatLoad(load), text), text).to.deep.equal(load);
    }
  });

  it('leaves out an invalid slowness', () => {
    for (const text of ['', '250', '9,0', '10001,0', '250,-1', '250,1,1', '2.5,10']) {
      expect(parseLoad(formatLoad(load), undefined, text), text).to.deep.equal(load);
    }
  });

  it('rejects any other text', () => {
    const texts = [undefined, '', '3,13', '3,13,2,340,', '3,13,2,340,1,1', 'a,13,2,340'];
    expect(texts.map((text) => parseLoad(text))).to.deep.equal(texts.map(() => undefined));
  });
});

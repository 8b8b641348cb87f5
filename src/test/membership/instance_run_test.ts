import { expect } from 'chai';
import { formatRun, isSameRun, parseRun } from '../../membership/instance_run.js';

describe('InstanceRun', () => {
  it('parses what it has formatted, whatever the id', () => {
    for (const id of ['i-1', 'a,b', 'ü\r\n%', ' ']) {
      for (const run of [{ id }, { id, born: 1_773_632_521_224 }]) {
        expect(parseRun(formatRun(run))).to.deep.equal(run);
      }
    }
  });

  it('rejects any other text', () => {
    const texts = [undefined, '', 'i-1', ',5', 'i-1,x', 'i-1,1,2', '%E0%A4%A,1'];
    expect(texts.map(parseRun)).to.deep.equal(texts.map(() => undefined));
  });

  it('takes a start time that is unknown for the same', () => {
    const run = { id: 'i-1', born: 1 };
    const others = [{ id: 'i-1' }, { id: 'i-1', born: 1 }, { id: 'i-1', born: 2 }, { id: 'i-2' }];
    expect(others.map((other) => isSameRun(run, other))).to.deep.equal([true, true, false, false]);
  });
});

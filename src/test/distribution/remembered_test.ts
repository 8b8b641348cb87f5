import { expect } from 'chai';
import { Remembered } from '../../distribution/remembered.js';
import { type Member } from '../../contracts.js';

const CAPACITY = 4_096;

function life(incarnation: number, instance = 'arima-1'): Member {
  return { instance, incarnation } as Member;
}

describe('Remembered', () => {
  // An instance is replaced, and its new process says of itself what little it holds. Only what
  // its earlier process said while ready counts, so the new one cannot vouch for itself.
  it('tells what was heard before a process started, not from it', () => {
    const remembered = new Remembered();
    expect(remembered.before('arima-1', 10)).to.equal(undefined);
    remembered.note(life(10), 8, true);
    remembered.note(life(10), 7, true);
    expect(remembered.before('arima-1', 10)).to.equal(undefined);
    expect(remembered.before('arima-1', 20)).to.equal(8);
    remembered.note(life(20), 3, false);
    expect(remembered.before('arima-1', 20)).to.equal(8);
  });

  // The clock of an instance jumps back over a restart, so its new process looks like the older
  // one. What is known of an even earlier process must not be taken for all there is.
  it('tells nothing for sure after a clock has jumped back', () => {
    const remembered = new Remembered();
    remembered.note(life(10), 5, true);
    remembered.note(life(20), 8, true);
    expect(remembered.before('arima-1', 15)).to.equal(undefined);
  });

  it('tells nothing for sure of a process that was not ready, or read from the platform', () => {
    const remembered = new Remembered();
    remembered.note(life(10), 8, true);
    remembered.note(life(20), 3, false);
    expect(remembered.before('arima-1', 30)).to.equal(undefined);
  });

  it('forgets the instance heard longest ago when there are too many', () => {
    const remembered = new Remembered();
    for (let index = 0; index < CAPACITY; index++) remembered.note(life(1, `i-${index}`), 1, true);
    remembered.note(life(1, 'i-0'), 2, true);
    remembered.note(life(1, 'one-more'), 1, true);
    expect(remembered.before('i-0', 2)).to.equal(2);
    expect(remembered.before('i-1', 2)).to.equal(undefined);
  });
});

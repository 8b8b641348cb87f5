import { getEventListeners } from 'node:events';
import { expect } from 'chai';
import { sleepUntilAny } from '../../runtime/sleep.js';
import { FakeTime } from '../fake_time.js';

describe('sleepUntilAny', () => {
  // Guards against a process that grows with every sleep that a signal of its whole life can end.
  it('ends at the deadline or with any signal, and leaves no listener behind', async () => {
    using time = new FakeTime();
    const { clock } = time;
    const startedAt = clock.now();
    const process = new AbortController();
    const waking = new AbortController();
    const signals = [process.signal, waking.signal];
    const wakesAt: number[] = [];
    const sleep = async () => {
      await sleepUntilAny(clock, clock.now() + 1_000, signals);
      wakesAt.push(clock.now() - startedAt);
    };
    void sleep();
    await time.advance(1_500);
    void sleep();
    await time.advance(100);
    waking.abort();
    await time.advance(100);
    await sleep();
    expect(wakesAt).to.deep.equal([1_000, 1_600, 1_700]);
    expect(signals.map((signal) => getEventListeners(signal, 'abort').length)).to.deep.equal([
      0, 0,
    ]);
  });
});

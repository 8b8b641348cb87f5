import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect } from 'chai';
import { MachineClock } from '../../runtime/clock.js';
import { callEach, faultCounts, keepRunning, runInBackground } from '../../runtime/faults.js';
import { takeFaults } from '../faults.js';
import { ManualClock } from '../manual_clock.js';

describe('faults', () => {
  // Guards against the end of the process, with all requests in flight, by a task that nobody awaits.
  it('end only the background task in which they occur', async () => {
    const before = faultCounts().get('test') ?? 0;
    runInBackground('test', Promise.reject(new Error('broken')));
    await nextTurn();
    expect(takeFaults()).to.deep.equal([{ place: 'test', error: new Error('broken') }]);
    expect(faultCounts().get('test')).to.equal(before + 1);
  });

  // Guards against a listener that keeps others from hearing of a version.
  it('of one listener leave the others alone', () => {
    const heard: number[] = [];
    const fail = () => {
      throw new Error('broken');
    };
    callEach('test', [(n: number) => heard.push(n), fail, (n: number) => heard.push(-n)], 1);
    expect(heard).to.deep.equal([1, -1]);
    expect(takeFaults()).to.have.length(1);
  });

  // Guards against a process that serves but has stopped for good to send heartbeats or read versions.
  it('restart a task that has to go on, ever later', async () => {
    const clock = new ManualClock();
    const begunAt = clock.now();
    const startedAt: number[] = [];
    const stop = new AbortController();
    const run = async () => {
      startedAt.push(clock.now() - begunAt);
      if (startedAt.length === 10) stop.abort();
      throw new Error('broken');
    };
    await keepRunning('test', run, stop.signal, clock);
    expect(startedAt).to.deep.equal([
      0, 100, 300, 700, 1_500, 3_100, 6_300, 11_300, 16_300, 21_300,
    ]);
    expect(takeFaults()).to.have.length(10);
  });

  // Guards against two readers, or two senders of heartbeats, of one process after a fault in one part.
  it('end all parts of a task before it is started again', async () => {
    const clock = new ManualClock();
    const stop = new AbortController();
    const starts: AbortSignal[] = [];
    const run = async (signal: AbortSignal) => {
      starts.push(signal);
      if (starts.length === 1) throw new Error('broken');
      expect(starts.map(({ aborted }) => aborted)).to.deep.equal([true, false]);
      stop.abort();
      expect(signal.aborted).to.equal(true);
    };
    await keepRunning('test', run, stop.signal, clock);
    expect(starts).to.have.length(2);
    expect(takeFaults()).to.have.length(1);
  });

  it('do not restart a task that has ended by itself', async () => {
    let runs = 0;
    const run = async () => {
      runs += 1;
    };
    await keepRunning('test', run, new AbortController().signal, new MachineClock());
    expect(runs).to.equal(1);
  });
});

import { expect } from 'chai';
import { type RequestEnd } from '../../logs/request_log.js';
import { Tally } from '../../logs/tally.js';
import { FakeTime } from '../fake_time.js';
import { MemoryLog } from './memory_log.js';

const SERVED: RequestEnd = {
  verdict: 'ran',
  reason: 'none',
  status: 200,
  tookMs: 9,
  route: 'menus',
};

describe('Tally', () => {
  let time: FakeTime;
  let log: MemoryLog;
  let tally: Tally;

  beforeEach(() => {
    time = new FakeTime();
    log = new MemoryLog();
    tally = new Tally(log, time.clock);
  });

  afterEach(() => time[Symbol.dispose]());

  it('counts each request of a second once, by route', async () => {
    tally.add({ ...SERVED, bytes: 90_000, relayMs: 150 });
    tally.add({ ...SERVED, isLate: true, isReturn: true });
    tally.add({ ...SERVED, status: 500 });
    tally.add({ ...SERVED, verdict: 'not-run', reason: 'overloaded', status: 503 });
    tally.add({ ...SERVED, verdict: 'cut', reason: 'connection', route: 'seats' });
    expect(log.events).to.deep.equal([]);
    await time.advance(1_000);
    tally.add(SERVED);
    expect(log.events).toMatchSnapshot();
  });

  it('writes the counts of the last second on flush', () => {
    tally.add(SERVED);
    tally.flush();
    expect(log.events).to.have.length(1);
  });

  // Guards against a scan over thousands of routes that fills the log buffer, so that lines about
  // failures are dropped.
  it('limits the lines per second and still counts every request', () => {
    for (let route = 0; route < 1_000; route++) tally.add({ ...SERVED, route: `r-${route}` });
    tally.flush();
    expect(log.events.length).to.be.at.most(51);
    const asked = log.events.reduce((sum, event) => sum + ('asked' in event ? event.asked : 0), 0);
    expect(asked).to.equal(1_000);
  });
});

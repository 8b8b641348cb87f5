import { expect } from 'chai';
import fc from 'fast-check';
import { parseRate, RateLimit } from '../../admission/rate_limit.js';
import { Clock } from '../../runtime/clock.js';
import { FakeTime } from '../fake_time.js';

/** Window, factor and slack of what an instance with a limit tolerates, as its users state them. */
const WINDOW_MS = 4_000;
const FACTOR = 1.5;
const SLACK = 5;

class ManualClock extends Clock {
  at = 1_000_000;

  now(): number {
    return this.at;
  }

  async sleepUntil(deadline: number): Promise<void> {
    this.at = Math.max(this.at, deadline);
  }
}

/** Starts each request as soon as it has arrived and the limit allows it; returns the starts. */
function starts(perSecond: number, pauses: readonly number[]): number[] {
  const clock = new ManualClock();
  const rateLimit = new RateLimit(clock);
  rateLimit.record(perSecond, clock.at);
  let arrivedAt = clock.at;
  return pauses.map((pauseMs) => {
    arrivedAt += pauseMs;
    clock.at = Math.max(clock.at, arrivedAt, rateLimit.nextAt);
    rateLimit.take();
    return clock.at;
  });
}

describe('RateLimit', () => {
  let time: FakeTime;
  let rateLimit: RateLimit;
  let changes: number[];

  beforeEach(() => {
    time = new FakeTime();
    rateLimit = new RateLimit(time.clock);
    changes = [];
    rateLimit.onChange = (perSecond) => changes.push(perSecond);
  });

  afterEach(() => time[Symbol.dispose]());

  // Guards against a limit that is kept on average but exceeded after a pause, or by low limits.
  it('never starts more requests in a window than its instance tolerates (property)', () => {
    const rates = fc.oneof(fc.double({ min: 0, max: 600, noNaN: true }), fc.integer({ max: 5 }));
    const pauses = fc.array(fc.integer({ min: 0, max: 6_000 }), { maxLength: 200 });
    const bursts = fc.array(fc.constantFrom(0, 0, 0, 0, 5, 3_000), { maxLength: 400 });
    fc.assert(
      fc.property(rates, fc.oneof(pauses, bursts), (rate, gaps) => {
        const perSecond = Math.max(0, rate);
        const all = starts(perSecond, gaps);
        const most = all.map(
          (from) => all.filter((at) => at >= from && at < from + WINDOW_MS).length,
        );
        const allowed = ((FACTOR * WINDOW_MS) / 1_000) * perSecond + SLACK;
        return Math.max(0, ...most) <= allowed;
      }),
      { seed: 42 },
    );
  });

  // Guards against an instance whose limit of 0 could never be withdrawn: no request, no answer.
  it('lets a request through now and then under a limit of 0', () => {
    const [first = 0, second = 0, third = 0] = starts(0, [0, 0, 0]);
    expect([second - first, third - second]).to.deep.equal([4_000, 4_000]);
  });

  // Guards against a limit that its instance adjusts with each answer and that then lets nothing through.
  it('keeps what it has saved when the limit changes', async () => {
    rateLimit.record(10, 0);
    await time.advance(90);
    rateLimit.record(11, 0);
    await time.advance(10);
    expect(rateLimit.nextAt).to.be.at.most(time.clock.now());
  });

  it('applies what others know only until an answer tells, and again in a new run', () => {
    const seen: number[] = [];
    const steps = [
      () => rateLimit.adopt(15),
      () => rateLimit.adopt(20),
      () => rateLimit.record(Infinity, time.clock.now()),
      () => rateLimit.adopt(15),
      () => rateLimit.reset(),
      () => rateLimit.adopt(15),
    ];
    for (const step of steps) {
      step();
      seen.push(rateLimit.perSecond);
    }
    expect(seen).to.deep.equal([15, 15, Infinity, Infinity, Infinity, 15]);
  });

  it('parses decimal numbers only', () => {
    const texts = ['15', '23.2', '0', '0.5', '', '-1', '1e9', ' 15', '15, 20', 'NaN', 'Infinity'];
    expect(Object.fromEntries(texts.map((text) => [text, parseRate(text)]))).toMatchSnapshot();
  });

  it('reports when a limit is stated, changes notably and is withdrawn', async () => {
    for (const perSecond of [20, 19, 21, 30, Infinity]) {
      await time.advance(10);
      rateLimit.record(perSecond, time.clock.now());
    }
    expect(changes).to.deep.equal([20, 30, Infinity]);
  });

  // Guards against a limit that ends early: an answer from before it was stated arrives after it.
  it('is not withdrawn by the answer to a request sent before it was stated', async () => {
    const before = time.clock.now();
    await time.advance(100);
    rateLimit.record(15, before);
    await time.advance(100);
    rateLimit.record(Infinity, before);
    expect(rateLimit.perSecond).to.equal(15);
    rateLimit.record(Infinity, time.clock.now());
    expect(rateLimit.perSecond).to.equal(Infinity);
  });
});

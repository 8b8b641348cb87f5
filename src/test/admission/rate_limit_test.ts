import { expect } from 'chai';
import { parseRate, RateLimit } from '../../admission/rate_limit.js';
import { FakeTime } from '../fake_time.js';

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

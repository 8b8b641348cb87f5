import { expect } from 'chai';
import { CallMeter } from '../../platform/call_meter.js';

describe('CallMeter', () => {
  // Guards against log lines for conflicts and missing objects, which are normal answers, and
  // against repeated lines. Refusals for lack of capacity count as unavailable.
  it('reports once that the platform is unavailable, and once that it is back', () => {
    const meter = new CallMeter();
    const reported: boolean[] = [];
    meter.onChange(({ isAway }) => reported.push(isAway));
    meter.answered('GET', 200);
    meter.answered('PUT', 409);
    meter.answered('GET', 404);
    meter.failed('GET', new Error('no answer'));
    meter.answered('GET', 503);
    meter.answered('PUT', 429);
    meter.answered('GET', 200);
    expect(reported).to.deep.equal([true, false]);
    expect(meter.total).to.equal(7);
    expect(meter.ended).toMatchSnapshot();
  });
});

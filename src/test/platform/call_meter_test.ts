import { expect } from 'chai';
import { CallMeter } from '../../platform/call_meter.js';

describe('CallMeter', () => {
  // An operator reads when the platform went away and came back. A conflict or a missing object is
  // an answer like any other; a refusal for lack of room is not.
  it('tells once that the platform is away, and once that it is back', () => {
    const meter = new CallMeter();
    const told: boolean[] = [];
    meter.onChange(({ isAway }) => told.push(isAway));
    meter.answered('GET', 200);
    meter.answered('PUT', 409);
    meter.answered('GET', 404);
    meter.failed('GET', new Error('no answer'));
    meter.answered('GET', 503);
    meter.answered('PUT', 429);
    meter.answered('GET', 200);
    expect(told).to.deep.equal([true, false]);
    expect(meter.total).to.equal(7);
    expect(meter.ended).toMatchSnapshot();
  });
});

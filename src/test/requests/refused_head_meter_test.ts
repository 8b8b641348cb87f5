import { expect } from 'chai';
import { RequestMeter } from '../../daemon/request_meter.js';
import { TestPath } from './test_path.js';

describe('an odd head behind a request that is running', () => {
  // Guards against a count of requests in flight that only grows.
  it('is not in flight once its connection has closed', async () => {
    await using path = await TestPath.start();
    const meter = new RequestMeter(path.entry.server, path.clock);
    path.endpoints[0]!.upstream.delayMs = 200;
    await path.raw(
      'GET /menus HTTP/1.1\r\nHost: a\r\n\r\nGET /menus HTTP/1.1\r\nHost: a b\r\n\r\n',
    );
    await path.clock.sleepUntil(path.clock.now() + 600);
    expect({ meter: meter.inFlight, tracker: path.entry.tracker.inFlight }).to.deep.equal({
      meter: 0,
      tracker: 0,
    });
  });
});

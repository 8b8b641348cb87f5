import { expect } from 'chai';
import { once } from 'node:events';
import { type FleetNode } from '../../bench/fleet.js';
import { MachineClock } from '../../runtime/clock.js';
import { ask } from '../requests/test_path.js';
import { startBookingFleet } from './booking_fleet.js';

const clock = new MachineClock();

describe('a stop that has been requested before an uncaught exception', () => {
  // Guards against requests that are taken although the process ends, after the exception, before they do.
  it('takes no request that ends after the process', async () => {
    await using fleet = await startBookingFleet(clock);
    const [{ instance, upstream }, other] = fleet.nodes as [FleetNode, FleetNode];
    upstream.delayMs = 2_800;
    other.upstream.delayMs = 2_800;
    const running = ask(instance.callerPort, { path: '/seats', method: 'POST', body: 'x' }).catch(
      () => {},
    );
    await Promise.race([once(upstream, 'run'), once(other.upstream, 'run')]);
    const stopped = instance.stop(clock.now() + 20_000);
    await clock.sleepUntil(clock.now() + 300);
    const endsAt = clock.now() + 3_000;
    const ended = instance.stopAfterFault(endsAt);
    const before = instance.entry.tracker.canFinish(endsAt + 5_000);
    await clock.sleepUntil(clock.now() + instance.settings.noticeMs);
    const after = instance.entry.tracker.canFinish(endsAt + 5_000);
    await Promise.all([stopped, ended, running]);
    expect({ before, after }).to.deep.equal({ before: false, after: false });
  });
});

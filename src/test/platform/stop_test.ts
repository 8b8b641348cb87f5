import { once } from 'node:events';
import { expect } from 'chai';
import { MeshFleet } from '../../bench/mesh_fleet.js';
import { MachineClock } from '../../runtime/clock.js';

const clock = new MachineClock();
const WORK_MS = 1_000;
const POLL_MS = 5;
/** Signals that are sent at once arrive as one. */
const SIGNAL_EVERY_MS = 100;

describe('a process of the platform that stops', () => {
  let fleet: MeshFleet;

  before(async () => {
    const services = ['listings', 'bookings'];
    const size = { processes: 2, dataCentres: 1, services, routes: 2 };
    fleet = await MeshFleet.start(clock, { ...size, delayMs: WORK_MS, bytes: 100 });
    await fleet.waitUntilReady();
  });

  after(() => fleet[Symbol.asyncDispose]());

  // Guards against a second signal that ends the process at once, with all requests in flight.
  it('answers what is in flight, also when it is told to stop twice and to reload', async () => {
    const [stopping] = fleet.programs;
    const [, serving] = fleet.upstreams;
    // A process that is ready may not know the instance of another one yet.
    while (!(await fleet.call(0, 1))) await clock.sleepUntil(clock.now() + POLL_MS);
    const before = serving!.arrivals.length;
    const calls = Promise.allSettled([fleet.call(0, 1), fleet.call(0, 1)]);
    const deadline = clock.now() + WORK_MS;
    while (serving!.arrivals.length < before + 2 && clock.now() < deadline)
      await clock.sleepUntil(clock.now() + POLL_MS);
    const exited = once(stopping!.child, 'exit');
    for (const signal of ['SIGTERM', 'SIGHUP', 'SIGTERM'] as const) {
      stopping!.signal(signal);
      await clock.sleepUntil(clock.now() + SIGNAL_EVERY_MS);
    }
    const answered = { status: 'fulfilled', value: true };
    expect(await calls).to.deep.equal([answered, answered]);
    expect(await exited).to.deep.equal([0, null]);
  });
});

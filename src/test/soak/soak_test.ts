import { expect } from 'chai';
import { MeshFleet } from '../../bench/mesh_fleet.js';
import { MachineClock } from '../../runtime/clock.js';
import { scheduleOf } from '../../soak/schedule.js';
import { Soak } from '../../soak/soak.js';

const clock = new MachineClock();
const SEED = 1;
const SECONDS = 10;
const TIMEOUT_MS = 120_000;

describe('soak', function soakTest() {
  this.timeout(TIMEOUT_MS);

  // Guards against a seed that cannot be replayed.
  it('draws the same schedule from the same seed', () => {
    const options = { seed: SEED, machines: 12, runMs: 20_000 };
    expect(scheduleOf(options)).to.deep.equal(scheduleOf(options));
    expect(scheduleOf(options)).not.to.deep.equal(scheduleOf({ ...options, seed: SEED + 1 }));
    const kinds = scheduleOf(options).faults.map(({ fault }) => fault.kind);
    expect([...new Set(kinds)].sort()).toMatchSnapshot();
  });

  // Guards against a process that ends, or stops to serve, though nobody asked it to, while signals,
  // versions, settings and odd callers overlap.
  it('sees no process end unasked, and no request lost', async () => {
    await using fleet = await MeshFleet.start(clock, {
      processes: 4,
      dataCentres: 2,
      services: ['listings', 'bookings'],
      routes: 4,
      delayMs: 0,
      bytes: 500,
    });
    const soak = new Soak(fleet, { seed: SEED, seconds: SECONDS, busy: 0 }, clock, () => {});
    const { failures, calls, ends } = await soak.run();
    expect(failures).to.deep.equal([]);
    expect(calls.answered).to.be.greaterThan(0);
    expect(ends).to.be.greaterThan(0);
  });
});

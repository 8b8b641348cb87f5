import { expect } from 'chai';
import { MeshFleet } from '../../bench/mesh_fleet.js';
import { MachineClock } from '../../runtime/clock.js';

const clock = new MachineClock();
const PER_SECOND = 10;
/** Window, factor and slack of what an instance with a limit tolerates, as its users state them. */
const WINDOW_MS = 4_000;
const ALLOWED = (1.5 * PER_SECOND * WINDOW_MS) / 1_000 + 5;
/** Time after which all processes have passed on a statement, and must not send to an instance that leaves. */
const TOLD_MS = 1_000;
const CALL_EVERY_MS = 7;
/** Time within which a process that is ready has a report of its instance, and others know of it. */
const ANNOUNCED_MS = 3_000;

/** Sends steady calls for the first instance, the only one of its service, through the other machine. */
async function call(fleet: MeshFleet, forMs: number): Promise<void> {
  const until = clock.now() + forMs;
  const calls: Promise<unknown>[] = [];
  while (clock.now() < until) {
    calls.push(fleet.call(1, 0).catch(() => false));
    await clock.sleepUntil(clock.now() + CALL_EVERY_MS);
  }
  await Promise.all(calls);
}

/** Restarts the process beside the first instance, with calls until that is announced to it again. */
async function restart(fleet: MeshFleet): Promise<void> {
  await fleet.restart(0);
  await fleet.waitUntilReady();
  await call(fleet, ANNOUNCED_MS);
}

describe('processes of the platform', () => {
  let fleet: MeshFleet;

  before(async () => {
    const services = ['listings', 'bookings'];
    const size = { processes: 2, dataCentres: 1, services, routes: 2 };
    fleet = await MeshFleet.start(clock, { ...size, delayMs: 20, bytes: 100 });
    await fleet.waitUntilReady();
  });

  after(() => fleet[Symbol.asyncDispose]());

  // Guards against an instance in need that gets more than it states, also by a process that has just started.
  it('keep to the rate limit of an instance, also when the process beside it restarts', async () => {
    const [limited] = fleet.upstreams;
    limited!.statements = { 'server-limit': String(PER_SECOND) };
    await call(fleet, TOLD_MS);
    const told = limited!.arrivals.length;
    await call(fleet, WINDOW_MS / 2);
    await restart(fleet);
    const restarted = limited!.arrivals.length;
    await call(fleet, WINDOW_MS / 2);
    expect(limited!.arrivals.length).to.be.greaterThan(restarted);
    const arrivals = limited!.arrivals.slice(told);
    const counts = arrivals.map(
      (from) => arrivals.filter((at) => at >= from && at < from + WINDOW_MS).length,
    );
    expect(Math.max(...counts)).to.be.within(1, ALLOWED);
  });

  // Guards against work for an instance that leaves and whose reports still call it ready.
  it('send nothing to an instance that states that it leaves, also after a restart beside it', async () => {
    const [leaving] = fleet.upstreams;
    leaving!.statements = { 'server-leaving': '1' };
    await call(fleet, TOLD_MS);
    const told = leaving!.arrivals.length;
    await call(fleet, TOLD_MS);
    await restart(fleet);
    await call(fleet, TOLD_MS);
    expect(leaving!.arrivals.slice(told)).to.deep.equal([]);
  });
});

import { once } from 'node:events';
import { Agent } from 'node:http';
import { expect } from 'chai';
import { type FleetNode } from '../../bench/fleet.js';
import { MachineClock } from '../../runtime/clock.js';
import { ask } from '../requests/test_path.js';
import { startBookingFleet } from './booking_fleet.js';

const clock = new MachineClock();
const LONG_MS = 10_000;
/** A large response takes a second. */
const LARGE_BYTES = 400_000;
const SLOW_LINK_KBPS = 3_200;

const book = (port: number, id: string, agent?: Agent) =>
  ask(port, { path: '/seats', method: 'POST', headers: { 'x-request': id }, body: 'x', agent });

describe('Instance.stop', () => {
  // Guards against a stop that cuts or refuses requests: callers keep sending through both processes
  // while one with bookings in flight stops. Its upstream instance must start no later booking.
  it('finishes requests in flight and starts no new ones upstream', async () => {
    await using fleet = await startBookingFleet(clock);
    const [leaving, staying] = fleet.nodes as [FleetNode, FleetNode];
    const { callerPort } = leaving.instance;
    const agent = new Agent({ keepAlive: true });
    staying.upstream.delayMs = 50;
    leaving.upstream.delayMs = 300;
    const started = Promise.race([once(leaving.upstream, 'run'), once(staying.upstream, 'run')]);
    const running = Array.from({ length: 8 }, (_, index) => book(callerPort, `running-${index}`));
    await started;
    const stopped = leaving.instance.stop(clock.now() + LONG_MS);
    expect(leaving.instance.isReady).to.equal(false);
    const later = [];
    for (let index = 0; index < 10; index++) {
      const port = index % 2 ? callerPort : staying.instance.callerPort;
      later.push(await book(port, `later-${index}`, agent));
    }
    const answers = [...(await Promise.all(running)), ...later];
    await stopped;
    agent.destroy();
    expect(new Set(answers.map(({ status }) => status))).to.deep.equal(new Set([200]));
    expect(later[1]!.headers.connection).to.equal('close');
    expect([...leaving.upstream.runs.keys()].filter((id) => id.startsWith('later'))).to.deep.equal(
      [],
    );
  });

  // Guards against a stop that waits forever for an upstream that does not respond; the caller must
  // see a closed connection, never a partial response that looks complete.
  it('waits no longer than its deadline', async () => {
    await using fleet = await startBookingFleet(clock);
    const [leaving] = fleet.nodes as [FleetNode];
    for (const { upstream } of fleet.nodes) upstream.delayMs = LONG_MS * 6;
    const cut = book(leaving.instance.callerPort, 'stuck').then(
      ({ status }) => status,
      (error: NodeJS.ErrnoException) => error.code,
    );
    await Promise.race(fleet.nodes.map(({ upstream }) => once(upstream, 'run')));
    await leaving.instance.stop(clock.now());
    await leaving.instance.entry[Symbol.asyncDispose]();
    expect(await cut).to.equal('ECONNRESET');
  });

  // Guards against responses that are cut although they are complete, as they wait for the link of the process.
  it('hands over, before it ends, the responses that still wait for the link', async () => {
    await using fleet = await startBookingFleet(clock, SLOW_LINK_KBPS);
    const [leaving, other] = fleet.nodes as [FleetNode, FleetNode];
    const { callerPort, settings, entry, roster } = leaving.instance;
    other.upstream.state = 'draining';
    const isOtherOut = () =>
      roster.get(other.instance.settings.instance)?.endpoint?.state === 'draining';
    await fleet.waitUntil(isOtherOut, clock.now() + LONG_MS);
    const headers = { 'x-bytes': String(LARGE_BYTES) };
    const download = () => ask(callerPort, { path: '/menus', headers });
    const downloads = Array.from({ length: 4 }, () => download().then(({ body }) => body.length));
    const haveAllRun = () => leaving.upstream.runs.get('unnamed') === downloads.length;
    await fleet.waitUntil(haveAllRun, clock.now() + LONG_MS);
    await leaving.instance.stop(clock.now() + settings.noticeMs + 1_000);
    await entry[Symbol.asyncDispose]();
    expect(await Promise.all(downloads)).to.deep.equal(downloads.map(() => LARGE_BYTES));
  });
});

import { once } from 'node:events';
import { expect } from 'chai';
import { MeshFleet } from '../../bench/mesh_fleet.js';
import { Program } from '../../bench/processes.js';
import { MachineClock } from '../../runtime/clock.js';

const clock = new MachineClock();
const WORK_MS = 1_000;
const POLL_MS = 5;
const REFUSED = 503;
const FAULT_SIGNAL = 'SIGUSR2';
const THROW_FROM_TIMER = `process.on('${FAULT_SIGNAL}', () => {
  setTimeout(() => { throw new TypeError('injected'); }, 1);
});`;

describe('a process of the platform in which an exception is thrown', () => {
  let fleet: MeshFleet;

  before(async () => {
    const size = { processes: 2, dataCentres: 1, services: ['listings', 'bookings'], routes: 2 };
    const preload = `data:text/javascript,${encodeURIComponent(THROW_FROM_TIMER)}`;
    fleet = await MeshFleet.start(clock, { ...size, delayMs: WORK_MS, bytes: 100, preload });
    await fleet.waitUntilReady();
  });

  after(() => fleet[Symbol.asyncDispose]());

  async function waitUntil(isTrue: () => boolean): Promise<void> {
    const deadline = clock.now() + WORK_MS;
    while (!isTrue() && clock.now() < deadline) await clock.sleepUntil(clock.now() + POLL_MS);
  }

  // Guards against an exception of which one request or one timer is the cause, and that cuts all other
  // requests in flight: those of callers of this process, and those of its upstream instance.
  it('answers what is in flight, refuses the rest and ends with the cause as its last line', async () => {
    const [faulting] = fleet.programs;
    // A process that is ready may not know the instance of another one yet.
    while (!(await fleet.call(0, 1)) || !(await fleet.call(1, 0)))
      await clock.sleepUntil(clock.now() + POLL_MS);
    let output = '';
    faulting!.child.stdout!.on('data', (chunk) => {
      output += String(chunk);
    });
    const exited = once(faulting!.child, 'close');
    const calls = Promise.allSettled([fleet.send(0, 1, 'entered'), fleet.send(1, 0, 'served')]);
    await waitUntil(() => fleet.hasRun('entered') && fleet.hasRun('served'));
    faulting!.signal(FAULT_SIGNAL);
    await waitUntil(() => output.includes('injected'));
    faulting!.signal(FAULT_SIGNAL);
    const late = await fleet.send(0, 1, 'late').catch(String);
    const answered = { status: 'fulfilled', value: 200 };
    expect(await calls).to.deep.equal([answered, answered]);
    expect(late).to.equal(REFUSED);
    expect(fleet.hasRun('late')).to.equal(false);
    expect(await exited).to.deep.equal([1, null]);
    expect(Program.takeUnaskedEnds().map(({ code }) => code)).to.deep.equal([1]);
    const last = output.trimEnd().split('\n').at(-1)!;
    expect(JSON.parse(last)).to.include({ event: 'ended', message: 'injected' });
  });
});

import { expect } from 'chai';
import {
  type Announcement,
  EndpointLease,
  LEASE_MS,
  REFUSED_MS,
} from '../../membership/announcement.js';
import { Roster } from '../../membership/roster.js';
import { FakeTime } from '../fake_time.js';
import { memberOf } from './member.js';

const READY: Announcement = {
  upstream: 'listings',
  state: 'ready',
  slots: 20,
  host: '127.0.0.1',
  port: 80,
};

function setUp() {
  const time = new FakeTime();
  const roster = new Roster(memberOf('a'));
  const states: string[] = [];
  roster.onNews(() => states.push(roster.self.endpoint!.state));
  const lease = new EndpointLease(roster, time.clock);
  const stopping = new AbortController();
  void lease.run(stopping.signal);
  const dispose = () => {
    stopping.abort();
    time[Symbol.dispose]();
  };
  return { time, roster, states, lease, [Symbol.dispose]: dispose };
}

describe('EndpointLease', () => {
  it('tells the others of changes only, each at once', async () => {
    using world = setUp();
    for (const state of ['cold', 'cold', 'ready', 'ready', 'draining', 'draining'] as const) {
      world.lease.take({ ...READY, state });
      await world.time.advance(500);
    }
    expect(world.states).to.eql(['cold', 'ready', 'draining']);
    expect(world.roster.self).toMatchSnapshot();
  });

  // An upstream instance crashes and cannot say so. Its announcements stay away, and the others
  // stop sending work when the lease ends; the next announcement brings it back.
  it('takes the endpoint for down when announcements stay away', async () => {
    using world = setUp();
    world.lease.take(READY);
    await world.time.advance(LEASE_MS - 500);
    expect(world.states).to.eql(['ready']);
    await world.time.advance(1_000);
    expect(world.states).to.eql(['ready', 'down']);
    world.lease.take(READY);
    expect(world.states).to.eql(['ready', 'down', 'ready']);
  });

  // The guard finds the port refusing. The upstream's announcing thread lives a moment longer: it
  // must not win the endpoint work that would be refused again.
  it('takes a refusing endpoint for down at once, and for a moment', async () => {
    using world = setUp();
    world.lease.take(READY);
    world.lease.refused();
    world.lease.take(READY);
    expect(world.states).to.eql(['ready', 'down']);
    await world.time.advance(REFUSED_MS);
    world.lease.take(READY);
    expect(world.states).to.eql(['ready', 'down', 'ready']);
  });
});

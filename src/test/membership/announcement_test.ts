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

  // An announcement of the time before the drain was held up on its way. Were it believed, the
  // endpoint would get work while it leaves.
  it('takes nothing back for an announcement that was overtaken', () => {
    using world = setUp();
    const draining = { ...READY, state: 'draining', id: 'i-1', born: 10, sequence: 5 } as const;
    world.lease.take(draining);
    world.lease.take({ ...READY, id: 'i-1', born: 10, sequence: 4 });
    world.lease.take({ ...READY, id: 'i-0', born: 9, sequence: 90 });
    expect(world.states).to.eql(['draining']);
  });

  // The instance starts again under the id that it had, and counts anew. Its announcements have
  // lower numbers than those of its life before, and hold all the same.
  it('believes a new life of the same instance', () => {
    using world = setUp();
    world.lease.take({ ...READY, state: 'draining', id: 'i-1', born: 10, sequence: 50 });
    world.lease.take({ ...READY, id: 'i-1', born: 11, sequence: 1 });
    expect(world.states).to.eql(['draining', 'ready']);
  });

  // Some instances never say that they drain: they say that they leave, serve on for a while and
  // exit. From the first word on they get no new work, whatever else arrives of that life.
  it('drains an instance that has said that it leaves', async () => {
    using world = setUp();
    world.lease.take({ ...READY, id: 'i-1', born: 10, sequence: 1 });
    world.lease.depart({ id: 'i-1', born: 10 });
    world.lease.take({ ...READY, id: 'i-1', born: 10, sequence: 2 });
    await world.time.advance(3 * LEASE_MS);
    expect(world.states).to.eql(['ready', 'draining']);
    world.lease.take({ ...READY, id: 'i-1', born: 11, sequence: 1 });
    expect(world.states).to.eql(['ready', 'draining', 'ready']);
  });

  // Guards against a drain that changes nothing: after a restart of this process the instance was
  // found by its health check, which does not tell when it started.
  it('drains an instance that leaves and was only looked at before', async () => {
    using world = setUp();
    world.lease.take({ ...READY, id: 'i-1' });
    world.lease.depart({ id: 'i-1', born: 10 });
    world.lease.take({ ...READY, state: 'draining', id: 'i-1', born: 10, sequence: 9 });
    await world.time.advance(3 * LEASE_MS);
    expect(world.states).to.eql(['ready', 'draining']);
  });

  // Guards against a drain that the next report takes back, since it did not say whose life ends.
  it('drains an instance that leaves without telling when it started', () => {
    using world = setUp();
    world.lease.take({ ...READY, id: 'i-1', born: 10, sequence: 1 });
    world.lease.depart({ id: 'i-1' });
    world.lease.take({ ...READY, id: 'i-1', born: 10, sequence: 2 });
    expect(world.states).to.eql(['ready', 'draining']);
    world.lease.take({ ...READY, id: 'i-1', born: 11, sequence: 1 });
    expect(world.states).to.eql(['ready', 'draining', 'ready']);
  });

  // Guards against a late report that is believed by a process of which all neighbours died with the
  // one before it: nobody is left who knows that the endpoint drains.
  it('believes an endpoint that declines a look only when it repeats itself', () => {
    using world = setUp();
    world.lease.doubt();
    world.lease.take({ ...READY, id: 'i-1', born: 10, sequence: 3 });
    expect(world.states).to.eql(['draining']);
    world.lease.take({ ...READY, id: 'i-1', born: 10, sequence: 3 });
    expect(world.states).to.eql(['draining']);
    world.lease.take({ ...READY, id: 'i-1', born: 10, sequence: 7 });
    expect(world.states).to.eql(['draining', 'ready']);
  });

  it('takes back what an endpoint said just before it declined a look', () => {
    using world = setUp();
    world.lease.take({ ...READY, id: 'i-1', born: 10, sequence: 3 });
    world.lease.doubt();
    expect(world.states).to.eql(['ready', 'draining']);
    world.lease.take({ ...READY, id: 'i-1', born: 10, sequence: 4 });
    expect(world.states).to.eql(['ready', 'draining', 'ready']);
  });

  it('does not mind that another instance leaves', () => {
    using world = setUp();
    world.lease.take({ ...READY, id: 'i-2', born: 10, sequence: 1 });
    world.lease.depart({ id: 'i-1', born: 9 });
    expect(world.states).to.eql(['ready']);
  });
});

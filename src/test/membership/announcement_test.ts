import { expect } from 'chai';
import {
  type Announcement,
  EndpointLease,
  DEFAULT_LEASE_MS,
  REFUSAL_HOLDOFF_MS,
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
  roster.onUpdate(() => states.push(roster.self.endpoint!.state));
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
  it('publishes only changes, each of them immediately', async () => {
    using world = setUp();
    for (const state of ['cold', 'cold', 'ready', 'ready', 'draining', 'draining'] as const) {
      world.lease.renew({ ...READY, state });
      await world.time.advance(500);
    }
    expect(world.states).to.eql(['cold', 'ready', 'draining']);
    expect(world.roster.self).toMatchSnapshot();
  });

  // Guards against a crashed upstream instance that keeps receiving work because it cannot
  // announce that it is down.
  it('publishes the endpoint as down when announcements stop', async () => {
    using world = setUp();
    world.lease.renew(READY);
    await world.time.advance(DEFAULT_LEASE_MS - 500);
    expect(world.states).to.eql(['ready']);
    await world.time.advance(1_000);
    expect(world.states).to.eql(['ready', 'down']);
    world.lease.renew(READY);
    expect(world.states).to.eql(['ready', 'down', 'ready']);
  });

  // Guards against work for a port that refuses connections, caused by announcements that a
  // crashing upstream still sends.
  it('publishes a refusing endpoint as down immediately and for a limited time', async () => {
    using world = setUp();
    world.lease.renew(READY);
    world.lease.connectionRefused();
    world.lease.renew(READY);
    expect(world.states).to.eql(['ready', 'down']);
    await world.time.advance(REFUSAL_HOLDOFF_MS);
    world.lease.renew(READY);
    expect(world.states).to.eql(['ready', 'down', 'ready']);
  });

  // Guards against work for a draining endpoint, caused by a delayed announcement from before the
  // drain or from an earlier run.
  it('ignores an announcement that arrives after a later one', () => {
    using world = setUp();
    const draining = { ...READY, state: 'draining', id: 'i-1', born: 10, sequence: 5 } as const;
    world.lease.renew(draining);
    world.lease.renew({ ...READY, id: 'i-1', born: 10, sequence: 4 });
    world.lease.renew({ ...READY, id: 'i-0', born: 9, sequence: 90 });
    expect(world.states).to.eql(['draining']);
  });

  // Guards against ignoring an instance that restarts with the same id: its sequence starts again
  // below that of the previous run.
  it('accepts a new run of the same instance', () => {
    using world = setUp();
    world.lease.renew({ ...READY, state: 'draining', id: 'i-1', born: 10, sequence: 50 });
    world.lease.renew({ ...READY, id: 'i-1', born: 11, sequence: 1 });
    expect(world.states).to.eql(['draining', 'ready']);
  });

  // Guards against new work for instances that never announce a drain: they announce that they
  // are leaving, and go on serving and announcing for a while.
  it('drains an instance that has announced that it is leaving', async () => {
    using world = setUp();
    world.lease.renew({ ...READY, id: 'i-1', born: 10, sequence: 1 });
    world.lease.depart({ id: 'i-1', born: 10 });
    world.lease.renew({ ...READY, id: 'i-1', born: 10, sequence: 2 });
    await world.time.advance(3 * DEFAULT_LEASE_MS);
    expect(world.states).to.eql(['ready', 'draining']);
    world.lease.renew({ ...READY, id: 'i-1', born: 11, sequence: 1 });
    expect(world.states).to.eql(['ready', 'draining', 'ready']);
  });

  // Guards against a drain without effect: after a restart of this process the instance was found
  // by its health check, which does not report its start time.
  it('drains a leaving instance that was known only from its health check', async () => {
    using world = setUp();
    world.lease.renew({ ...READY, id: 'i-1' });
    world.lease.depart({ id: 'i-1', born: 10 });
    world.lease.renew({ ...READY, state: 'draining', id: 'i-1', born: 10, sequence: 9 });
    await world.time.advance(3 * DEFAULT_LEASE_MS);
    expect(world.states).to.eql(['ready', 'draining']);
  });

  // Guards against a drain without a start time that the next announcement of the same run ends.
  it('drains a leaving instance that does not report its start time', () => {
    using world = setUp();
    world.lease.renew({ ...READY, id: 'i-1', born: 10, sequence: 1 });
    world.lease.depart({ id: 'i-1' });
    world.lease.renew({ ...READY, id: 'i-1', born: 10, sequence: 2 });
    expect(world.states).to.eql(['ready', 'draining']);
    world.lease.renew({ ...READY, id: 'i-1', born: 11, sequence: 1 });
    expect(world.states).to.eql(['ready', 'draining', 'ready']);
  });

  // Guards against accepting a delayed announcement after the previous process and all of its
  // neighbours have died: no process is left that knows of the drain.
  it('requires two ready announcements after a failed health check', () => {
    using world = setUp();
    world.lease.requireConfirmation();
    world.lease.renew({ ...READY, id: 'i-1', born: 10, sequence: 3 });
    expect(world.states).to.eql(['draining']);
    world.lease.renew({ ...READY, id: 'i-1', born: 10, sequence: 3 });
    expect(world.states).to.eql(['draining']);
    world.lease.renew({ ...READY, id: 'i-1', born: 10, sequence: 7 });
    expect(world.states).to.eql(['draining', 'ready']);
  });

  it('withdraws a ready announcement when the health check fails right after it', () => {
    using world = setUp();
    world.lease.renew({ ...READY, id: 'i-1', born: 10, sequence: 3 });
    world.lease.requireConfirmation();
    expect(world.states).to.eql(['ready', 'draining']);
    world.lease.renew({ ...READY, id: 'i-1', born: 10, sequence: 4 });
    expect(world.states).to.eql(['ready', 'draining', 'ready']);
  });

  it('ignores the departure of another instance', () => {
    using world = setUp();
    world.lease.renew({ ...READY, id: 'i-2', born: 10, sequence: 1 });
    world.lease.depart({ id: 'i-1', born: 9 });
    expect(world.states).to.eql(['ready']);
  });
});

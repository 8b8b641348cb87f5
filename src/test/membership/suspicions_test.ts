import { install } from '@sinonjs/fake-timers';
import { expect } from 'chai';
import { MAX_RETAINED, MEMBER_RETENTION_MS, Retention } from '../../membership/retention.js';
import { Roster } from '../../membership/roster.js';
import { SUSPICION_TIMEOUT_MS, Suspicions } from '../../membership/suspicions.js';
import { TimerClock } from '../../runtime/clock.js';
import { memberOf } from './member.js';

/** Clock of a process that can be paused: no sleep ends before `pausedUntil`. */
class PausedClock extends TimerClock {
  pausedUntil = 0;

  override async sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    await super.sleepUntil(deadline, signal);
    if (this.now() < this.pausedUntil) await super.sleepUntil(this.pausedUntil, signal);
  }
}

function setUp() {
  const timers = install();
  const clock = new PausedClock();
  const roster = new Roster(memberOf('a'));
  roster.merge([memberOf('b')]);
  return { timers, clock, roster, [Symbol.dispose]: () => timers.uninstall() };
}

describe('Suspicions', () => {
  it('declares a suspect dead at the deadline unless it has refuted', async () => {
    using world = setUp();
    const { roster, clock, timers } = world;
    const stopping = new AbortController();
    roster.merge([memberOf('c')]);
    void new Suspicions(roster, clock).run(stopping.signal);
    roster.setLiveness('b', 'suspect');
    roster.setLiveness('c', 'suspect');
    await timers.tickAsync(SUSPICION_TIMEOUT_MS - 500);
    roster.merge([memberOf('c', { incarnation: 2 })]);
    expect(roster.counts).to.include({ suspect: 1, dead: 0 });
    await timers.tickAsync(1_000);
    expect([roster.get('b')!.liveness, roster.get('c')!.liveness]).to.eql(['dead', 'alive']);
    stopping.abort();
  });

  // Guards against declaring a neighbour dead after a pause of this process, when the deadline has
  // passed and the refutation is still unread.
  it('restarts deadlines after a pause of this process', async () => {
    using world = setUp();
    const { roster, clock, timers } = world;
    const stopping = new AbortController();
    void new Suspicions(roster, clock).run(stopping.signal);
    roster.setLiveness('b', 'suspect');
    clock.pausedUntil = clock.now() + 20_000;
    await timers.tickAsync(20_500);
    expect(roster.get('b')!.liveness).to.equal('suspect');
    roster.merge([memberOf('b', { incarnation: 2 })]);
    await timers.tickAsync(10_000);
    expect(roster.get('b')!.liveness).to.equal('alive');
    stopping.abort();
  });
});

describe('Retention', () => {
  // Guards against work for a dead member that a process paused or partitioned for half an hour
  // still reports as alive.
  it('retains dead members longer than stale records arrive, then removes them', () => {
    using world = setUp();
    const { roster, clock, timers } = world;
    const retention = new Retention(roster, clock);
    roster.setLiveness('b', 'dead');
    timers.tick(MEMBER_RETENTION_MS / 2);
    retention.sweep();
    roster.merge([memberOf('b')]);
    expect(roster.get('b')!.liveness).to.equal('dead');
    const { hash } = roster;
    timers.tick(MEMBER_RETENTION_MS);
    retention.sweep();
    expect(roster.get('b')).to.equal(undefined);
    expect(roster.hash).to.equal(hash);
  });

  it('retains a bounded number of members, the latest ones', () => {
    using world = setUp();
    const { roster, clock } = world;
    const retention = new Retention(roster, clock);
    const last = 2 * MAX_RETAINED;
    for (let number = 1; number <= last; number++) {
      roster.merge([memberOf(`i${number}`, { liveness: 'left' })]);
    }
    retention.sweep();
    expect(roster.counts.left).to.equal(MAX_RETAINED);
    expect(roster.get(`i${last}`)).not.to.equal(undefined);
  });
});

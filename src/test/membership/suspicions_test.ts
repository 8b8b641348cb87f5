import { install } from '@sinonjs/fake-timers';
import { expect } from 'chai';
import { MAX_REMEMBERED, REMEMBER_MS, Retention } from '../../membership/retention.js';
import { Roster } from '../../membership/roster.js';
import { SUSPICION_MS, Suspicions } from '../../membership/suspicions.js';
import { TimerClock } from '../../runtime/clock.js';
import { memberOf } from './member.js';

/** A clock of a process that can be paused: nothing wakes until it goes on. */
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
  it('takes a suspect for dead at the deadline, unless it has refuted', async () => {
    using world = setUp();
    const { roster, clock, timers } = world;
    const stopping = new AbortController();
    roster.merge([memberOf('c')]);
    void new Suspicions(roster, clock).run(stopping.signal);
    roster.mark('b', 'suspect');
    roster.mark('c', 'suspect');
    await timers.tickAsync(SUSPICION_MS - 500);
    roster.merge([memberOf('c', { incarnation: 2 })]);
    expect(roster.counts).to.include({ suspect: 1, dead: 0 });
    await timers.tickAsync(1_000);
    expect([roster.get('b')!.liveness, roster.get('c')!.liveness]).to.eql(['dead', 'alive']);
    stopping.abort();
  });

  // A process suspects a neighbour and is then paused. When it wakes, the deadline has long
  // passed and the refutation lies unread: it must not declare the neighbour dead.
  it('starts deadlines anew after a pause of its own', async () => {
    using world = setUp();
    const { roster, clock, timers } = world;
    const stopping = new AbortController();
    void new Suspicions(roster, clock).run(stopping.signal);
    roster.mark('b', 'suspect');
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
  // A member died; a process that was paused or cut off for half an hour still says it is alive.
  // Believed, it would be given work again. What is remembered outlives such statements.
  it('outlives stale statements, then forgets', () => {
    using world = setUp();
    const { roster, clock, timers } = world;
    const retention = new Retention(roster, clock);
    roster.mark('b', 'dead');
    timers.tick(REMEMBER_MS / 2);
    retention.sweep();
    roster.merge([memberOf('b')]);
    expect(roster.get('b')!.liveness).to.equal('dead');
    const { hash } = roster;
    timers.tick(REMEMBER_MS);
    retention.sweep();
    expect(roster.get('b')).to.equal(undefined);
    expect(roster.hash).to.equal(hash);
  });

  it('remembers a bounded number, and the latest of them', () => {
    using world = setUp();
    const { roster, clock } = world;
    const retention = new Retention(roster, clock);
    const last = 2 * MAX_REMEMBERED;
    for (let number = 1; number <= last; number++) {
      roster.merge([memberOf(`i${number}`, { liveness: 'left' })]);
    }
    retention.sweep();
    expect(roster.counts.left).to.equal(MAX_REMEMBERED);
    expect(roster.get(`i${last}`)).not.to.equal(undefined);
  });
});

import FakeTimers, { type Clock as FakeClock } from '@sinonjs/fake-timers';
import { expect } from 'chai';
import { FairShare } from '../../admission/fair_share.js';
import { TimerClock } from '../../runtime/clock.js';

describe('FairShare', () => {
  let timers: FakeClock;
  let shares: FairShare;

  beforeEach(() => {
    timers = FakeTimers.install({ now: 1_000_000 });
    shares = new FairShare(new TimerClock());
  });

  afterEach(() => timers.uninstall());

  function use(team: string | undefined, slotMs: number): void {
    const account = shares.join(team);
    shares.charge(account, slotMs);
    shares.leave(account);
  }

  const usedMs = (team?: string) => shares.accountOf(team).usedMs;

  it('remembers no use of jobs without a team while it knows no team', () => {
    use(undefined, 500);
    expect([shares.isActive, usedMs()]).to.deep.equal([false, 0]);
    use('one', 100);
    use(undefined, 50);
    expect([shares.isActive, usedMs(), usedMs('one')]).to.deep.equal([true, 50, 100]);
  });

  // Guards against a team that saves up credit in a pause, and then gets all slots for a while.
  it('gives no credit for a pause', () => {
    use('one', 100);
    shares.advance(5_000);
    expect([usedMs('one'), usedMs('new'), usedMs()]).to.deep.equal([5_000, 5_000, 5_000]);
  });

  // Guards against a team that is held back for long because of slots that nobody else wanted.
  it('bounds by how much a team can be ahead', () => {
    use('one', 1_000_000);
    expect(usedMs('one')).to.equal(10_000);
  });

  it('forgets a team after 10 s without a job, but none that has one', () => {
    const running = shares.join('running');
    use('idle', 100);
    use(undefined, 100);
    timers.tick(10_000);
    expect([usedMs('idle'), usedMs(), shares.teams]).to.deep.equal([0, 0, 1]);
    shares.leave(running);
    timers.tick(9_999);
    expect([shares.accountOf('running'), shares.isActive]).to.deep.equal([running, true]);
    timers.tick(1);
    shares.accountOf(undefined);
    expect(shares.isActive).to.equal(false);
  });

  // Guards against memory that grows with the names of teams.
  it('forgets the longest idle teams when there are too many', () => {
    for (let index = 0; index < 5_000; index++) use(`team-${index}`, 10);
    expect(shares.teams).to.equal(2_000);
    expect([usedMs('team-4999'), usedMs('team-0')]).to.deep.equal([10, 0]);
  });
});

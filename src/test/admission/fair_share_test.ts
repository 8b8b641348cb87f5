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

  // Guards against calls of upstream instances that wait behind all teams until their request fails.
  it('charges nothing for jobs without a team', () => {
    use(undefined, 500);
    expect([shares.isActive, usedMs()]).to.deep.equal([false, 0]);
    use('one', 100);
    use(undefined, 50);
    expect([shares.isActive, usedMs(), usedMs('one')]).to.deep.equal([true, 0, 100]);
  });

  // Guards against a team that is held back for long because of slots that nobody else wanted.
  it('halves what a team has used every 5 s', () => {
    use('one', 400);
    timers.tick(5_000);
    use('two', 200);
    expect(usedMs('two')).to.equal(usedMs('one'));
  });

  // Guards against sums that overflow, or that differ from others after they were scaled down.
  it('compares teams alike however long it runs', () => {
    const one = shares.join('one');
    const two = shares.join('two');
    for (let second = 0; second < 20_000; second += 50) {
      timers.tick(50_000);
      shares.charge(one, 200);
      shares.charge(two, 100);
    }
    expect(one.usedMs / two.usedMs).to.be.closeTo(2, 0.001);
  });

  it('replaces the expected time of a job by the time that it took', () => {
    const account = shares.join('one');
    shares.charge(account, 100);
    shares.correct(account, 100, 30);
    expect(account.usedMs).to.equal(30);
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

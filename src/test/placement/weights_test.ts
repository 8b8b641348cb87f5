import { expect } from 'chai';
import { Roster } from '../../membership/roster.js';
import { Balancer } from '../../placement/balancer.js';
import { Weights } from '../../placement/weights.js';
import { Clock } from '../../runtime/clock.js';
import { SeededRandom } from '../../runtime/random.js';
import { memberOf } from '../requests/path.js';

class StillClock extends Clock {
  now(): number {
    return 1_000_000;
  }

  sleepUntil(): Promise<void> {
    return Promise.resolve();
  }
}

const NONE = new Set<never>();

describe('Weights', () => {
  // Six slots in the own data centre are taken and one request waits; another data centre is idle.
  // A lookup of 1.5 kB is answered sooner there. A download of 90 kB would cost as much as sixty
  // lookups on its way back, and waits a quarter of a second for a slot nearby instead.
  it('sends what weighs little to another data centre, and keeps downloads near', () => {
    const weights = new Weights();
    for (let answer = 0; answer < 20; answer++) {
      weights.learn('lookup', 1_500);
      weights.learn('download', 90_000);
    }
    const roster = new Roster(memberOf('entry', 1));
    const endpoint = { upstream: 'bookings', state: 'ready' as const, slots: 6 };
    const places = [memberOf('near', 1), memberOf('far', 1, 'tobago')];
    roster.merge(places.map((member) => ({ ...member, endpoint })));
    const balancer = new Balancer(roster, new StillClock(), new SeededRandom(3));
    const near = balancer.choose('bookings', NONE)!;
    expect(near.member.instance).to.equal('near');
    const busy = { inFlight: 6, slots: 6, waiting: 1, heldMs: 100, leavingMs: 0 };
    balancer.answered(near, 100, busy, false);
    const chosen = (route: string) =>
      balancer.choose('bookings', NONE, weights.awayMs(route))!.member.instance;
    expect({ lookup: chosen('lookup'), download: chosen('download') }).to.deep.equal({
      lookup: 'far',
      download: 'near',
    });
  });

  it('assumes nothing of a route that has not been answered yet', () => {
    expect(new Weights().awayMs('lookup')).to.equal(0);
  });
});

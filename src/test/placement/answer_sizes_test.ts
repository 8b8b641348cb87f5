import { expect } from 'chai';
import { Roster } from '../../membership/roster.js';
import { Balancer } from '../../placement/balancer.js';
import { AnswerSizes } from '../../placement/answer_sizes.js';
import { Clock } from '../../runtime/clock.js';
import { SeededRandom } from '../../runtime/random.js';
import { memberOf } from '../requests/test_path.js';

class FixedClock extends Clock {
  now(): number {
    return 1_000_000;
  }

  sleepUntil(): Promise<void> {
    return Promise.resolve();
  }
}

const NONE = new Set<never>();

describe('AnswerSizes', () => {
  // Guards against downloads between data centres when local slots are short: a lookup of 1.5 kB goes,
  // a download of 90 kB, as much traffic as sixty lookups, waits a quarter of a second.
  it('sends small answers through another data centre, and keeps downloads local', () => {
    const answerSizes = new AnswerSizes();
    for (let answer = 0; answer < 20; answer++) {
      answerSizes.record('lookup', 1_500);
      answerSizes.record('download', 90_000);
    }
    const roster = new Roster(memberOf('entry', 1));
    const endpoint = { upstream: 'bookings', state: 'ready' as const, slots: 6 };
    const places = [memberOf('near', 1), memberOf('far', 1, 'tobago')];
    roster.merge(places.map((member) => ({ ...member, endpoint })));
    const balancer = new Balancer(roster, new FixedClock(), new SeededRandom(3));
    const near = balancer.choose('bookings', NONE)!;
    expect(near.member.instance).to.equal('near');
    const busy = { inFlight: 6, slots: 6, waiting: 1, heldMs: 100, leavingMs: 0 };
    balancer.recordAnswer(near, 100, busy, false);
    const chosen = (route: string) =>
      balancer.choose('bookings', NONE, answerSizes.awayMs(route))!.member.instance;
    expect({ lookup: chosen('lookup'), download: chosen('download') }).to.deep.equal({
      lookup: 'far',
      download: 'near',
    });
  });

  it('adds no penalty for a route without answers', () => {
    expect(new AnswerSizes().awayMs('lookup')).to.equal(0);
  });
});

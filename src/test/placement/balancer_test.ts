import * as fc from 'fast-check';
import { expect } from 'chai';
import { type EndpointState, type Liveness, OutcomeError } from '../../contracts.js';
import { Roster } from '../../membership/roster.js';
import { Balancer } from '../../placement/balancer.js';
import { Cohorts, type Role, type TrialShare } from '../../placement/cohorts.js';
import { type Experience } from '../../placement/experience.js';
import { Clock } from '../../runtime/clock.js';
import { SeededRandom } from '../../runtime/random.js';
import { memberOf } from '../requests/path.js';

const SEED = 11;
/** Time between two requests. */
const STEP_MS = 50;
const NONE: ReadonlySet<Experience> = new Set();

class StillClock extends Clock {
  instant = 1_000_000;

  now(): number {
    return this.instant;
  }

  async sleepUntil(deadline: number): Promise<void> {
    this.instant = deadline;
  }
}

interface Place {
  readonly name: string;
  readonly dataCentre?: string;
  readonly state?: EndpointState;
  readonly liveness?: Liveness;
}

function set(places: readonly Place[]) {
  const clock = new StillClock();
  const roster = new Roster(memberOf('entry', 1));
  const place = ({ name, dataCentre, state = 'ready', liveness = 'alive' }: Place) => ({
    ...memberOf(name, 1, dataCentre),
    liveness,
    endpoint: { upstream: 'bookings', state, slots: 20 },
  });
  roster.merge(places.map(place));
  const balancer = new Balancer(roster, clock, new SeededRandom(SEED));
  const choose = () => balancer.choose('bookings', NONE);
  /** How often each is chosen in 200 requests, one after the other. */
  const shares = (latency: (name: string) => number = () => 1) => {
    const counts: Record<string, number> = {};
    for (let request = 0; request < 200; request++) {
      const chosen = choose()!;
      const name = chosen.member.instance;
      counts[name] = (counts[name] ?? 0) + 1;
      balancer.answered(chosen, latency(name), undefined, false);
      clock.instant += STEP_MS;
    }
    return counts;
  };
  return { clock, roster, balancer, choose, shares, place };
}

const refusal = (reason: string) => new OutcomeError(reason, { verdict: 'not-run', reason });

describe('Balancer', () => {
  const near: Place[] = [{ name: 'a' }, { name: 'b' }, { name: 'c' }];
  const far: Place[] = [{ name: 'x', dataCentre: 'tobago' }];

  it('asks the own data centre first', () => {
    expect(Object.keys(set([...near, ...far]).shares()).sort()).to.deep.equal(['a', 'b', 'c']);
  });

  it('gives a slow endpoint less, and tries it again after a while', () => {
    const { shares, clock } = set(near);
    const slow = shares((name) => (name === 'c' ? 50 : 1));
    clock.instant += 120_000;
    const noise = new SeededRandom(SEED);
    const later = shares(() => 1 + noise.next() / 5);
    expect(later.c).to.be.greaterThan(30);
    expect({ slow, later }).toMatchSnapshot();
  });

  // Everybody in the own data centre has refused for lack of room. The next request goes to the
  // other one, and comes back when the refusals are a moment old.
  it('spills over when nobody near can serve', () => {
    const { balancer, choose, clock } = set([...near, ...far]);
    for (let refused = 0; refused < 3; refused++) {
      balancer.refused(choose()!, refusal('overloaded'), undefined);
    }
    expect(choose()!.member.instance).to.equal('x');
    clock.instant += 1_000;
    expect(choose()!.member.dataCentre).to.equal('arima');
  });

  // An endpoint cannot be reached. It is left alone for longer each time, not for good.
  it('avoids what cannot be reached, for longer each time', () => {
    const { balancer, clock } = set([{ name: 'a' }, { name: 'b' }]);
    const lost = balancer.choose('bookings', NONE)!;
    const spans = [1, 2, 3, 4].map(() => {
      balancer.refused(lost, refusal('unreachable'), undefined);
      const span = lost.avoidUntil - clock.instant;
      clock.instant = lost.avoidUntil;
      return span;
    });
    const least = [250, 500, 1_000, 1_000];
    expect(spans.map((span, index) => span >= least[index]!)).to.deep.equal(Array(4).fill(true));
    expect(spans.every((span) => span <= 2_000)).to.equal(true);
  });

  // Another data centre was cut off a moment ago. While the first request waits for a connection
  // there, more come. Each of them would wait as long; one is enough to find out.
  it('lets one request find out whether what was lost can be reached again', () => {
    const { balancer, clock } = set([{ name: 'a' }, { name: 'b' }]);
    const lost = balancer.choose('bookings', NONE)!;
    balancer.refused(lost, refusal('unreachable'), undefined);
    clock.instant = lost.avoidUntil;
    const chosen = Array.from({ length: 20 }, () => {
      const next = balancer.choose('bookings', NONE)!;
      next.sent(clock.now());
      return next;
    });
    expect(chosen.filter((next) => next === lost)).to.have.length(1);
    balancer.answered(lost, 1, undefined, false);
    expect(lost.isAvoided(clock.now())).to.equal(false);
  });

  // The data centre of a caller is cut off, and all endpoints are on the other side: they answer
  // no heartbeats, and no connection could be made a moment ago. Each further attempt would hold
  // its caller for nothing; it is told at once, and when to come back.
  it('asks nobody where all are suspect and could not be reached', () => {
    const { balancer, choose, clock, roster } = set([{ name: 'a' }]);
    const lost = choose()!;
    balancer.refused(lost, refusal('unreachable'), undefined);
    expect(choose(), 'it may have been a lost packet').to.equal(lost);
    roster.merge([{ ...lost.member, liveness: 'suspect' }]);
    expect(choose()).to.equal(undefined);
    clock.instant = lost.avoidUntil;
    expect(choose(), 'one finds out').to.equal(lost);
  });

  // A cut has lasted long. When it has ended, work must come back within seconds, not when a pause
  // is over that has doubled with each attempt.
  it('tries what could not be reached again within seconds, however long that was', () => {
    const { balancer, clock, choose } = set([{ name: 'a' }]);
    const lost = choose()!;
    for (let attempt = 0; attempt < 20; attempt++) {
      balancer.refused(lost, refusal('unreachable'), undefined);
      expect(lost.avoidUntil - clock.instant).to.be.at.most(2_000);
      clock.instant = lost.avoidUntil;
    }
  });

  // An endpoint fails each request at once. By latency alone it would look fast and draw all work.
  it('does not take quick failures for speed', () => {
    const { balancer, choose } = set(near);
    let failing = 0;
    for (let request = 0; request < 300; request++) {
      const chosen = choose()!;
      const isFailing = chosen.member.instance === 'a';
      failing += Number(isFailing);
      balancer.answered(chosen, isFailing ? 0.1 : 10, undefined, isFailing);
    }
    expect(failing).to.be.lessThan(30);
  });

  it('still asks somebody when all are avoided', () => {
    const { balancer, choose } = set([{ name: 'a' }]);
    balancer.refused(choose()!, refusal('overloaded'), undefined);
    expect(choose()!.member.instance).to.equal('a');
  });

  it('gives one that has just become ready less at first', () => {
    const { roster, shares, place, clock } = set([{ name: 'a' }, { name: 'b' }]);
    shares();
    roster.merge([place({ name: 'c' })]);
    const early = shares().c ?? 0;
    clock.instant += 60_000;
    expect([early < 40, shares().c! > 40]).to.deep.equal([true, true]);
  });

  it('never chooses who is draining, gone, tried, or suspect while others can serve', () => {
    const state = fc.constantFrom<EndpointState>('ready', 'draining', 'cold', 'down');
    const liveness = fc.constantFrom<Liveness>('alive', 'suspect', 'dead', 'left');
    const dataCentre = fc.constantFrom('arima', 'tobago');
    const places = fc.uniqueArray(
      fc.record({ name: fc.string({ minLength: 1 }), state, liveness, dataCentre }),
      { selector: ({ name }) => name, maxLength: 8 },
    );
    const property = fc.property(places, fc.nat(8), (all, tries) => {
      const { balancer } = set(all);
      const tried = new Set<Experience>();
      for (let attempt = 0; attempt < tries; attempt++) {
        const chosen = balancer.choose('bookings', tried);
        if (!chosen) break;
        const { member } = chosen;
        const others = all.filter(
          ({ name }) => ![...tried].some((e) => e.member.instance === name),
        );
        const isAble = (place: Place) => place.state === 'ready' && place.liveness === 'alive';
        expect(member.endpoint?.state).to.equal('ready');
        expect(['alive', 'suspect']).to.include(member.liveness);
        if (others.some(isAble)) expect(member.liveness).to.equal('alive');
        expect(tried.has(chosen)).to.equal(false);
        tried.add(chosen);
      }
    });
    fc.assert(property, { seed: SEED, numRuns: 200 });
  });

  // Three endpoints with 6 slots. One refuses a lookup that must be answered within 300 ms. Another
  // reported a moment ago that 12 requests wait, 100 ms of work each: the lookup would be refused
  // there as well, which takes two processes' time and keeps the caller from hearing when to come
  // back. The third has room for it. What is late already needs a slot that is free now.
  it('moves on after a refusal only to where there may be room', () => {
    const { balancer, clock, choose } = set(near);
    const all = new Map<string, Experience>();
    while (all.size < 3) {
      const chosen = choose()!;
      all.set(chosen.member.instance, chosen);
    }
    const [a, b, c] = ['a', 'b', 'c'].map((name) => all.get(name)!);
    const crowded = { inFlight: 6, slots: 6, waiting: 12, heldMs: 100, leavingMs: 0 };
    const targetAt = clock.now() + 300;
    balancer.refused(a!, refusal('overloaded'), crowded);
    balancer.refused(b!, refusal('overloaded'), crowded);
    balancer.answered(c!, 100, { ...crowded, waiting: 1 }, false);
    expect(balancer.another('bookings', new Set([a!]), targetAt)).to.equal(c);
    expect(balancer.another('bookings', new Set([a!, c!]), targetAt)).to.equal(undefined);
    expect(balancer.another('bookings', new Set([a!]), clock.now() - 1)).to.equal(undefined);
  });

  it('asks again where the news of a full line is old', () => {
    const { balancer, clock } = set([{ name: 'a' }]);
    const a = balancer.choose('bookings', NONE)!;
    const crowded = { inFlight: 6, slots: 6, waiting: 30, heldMs: 100, leavingMs: 0 };
    balancer.refused(a, refusal('overloaded'), crowded);
    expect(balancer.another('bookings', NONE, clock.now() + 300)).to.equal(undefined);
    clock.instant += 300;
    expect(balancer.another('bookings', NONE, clock.now() + 300)).to.equal(a);
  });

  describe('with a version on trial', () => {
    const roles: Record<string, Role> = { v1: 'stable', v2: 'trial', v3: 'shut', v4: 'held' };

    class Trial extends Cohorts {
      readonly generation = 1;

      turn = 0;

      roleOf(_: string, version: string | undefined): Role {
        return roles[version ?? ''] ?? 'stable';
      }

      trialShare(): TrialShare {
        return { share: 0.2, count: 2, turn: this.turn };
      }
    }

    function fleet(versions: readonly string[]) {
      const { clock, roster, place } = set([]);
      const members = versions.map((version, index) => {
        const member = place({ name: `${version}-${index}` });
        return { ...member, endpoint: { ...member.endpoint, version } };
      });
      roster.merge(members);
      const trial = new Trial();
      const balancer = new Balancer(roster, clock, new SeededRandom(SEED), trial);
      const counts = (choose: () => Experience | undefined) => {
        const found: Record<string, number> = {};
        for (let request = 0; request < 400; request++) {
          const name = choose()?.member.instance ?? 'nobody';
          found[name] = (found[name] ?? 0) + 1;
        }
        return found;
      };
      return { balancer, trial, counts };
    }

    it('gives its share to those whose turn it is, and nothing to those shut out or held', () => {
      const versions = ['v1', 'v1', 'v2', 'v2', 'v2', 'v2', 'v3', 'v4'];
      const { balancer, trial, counts } = fleet(versions);
      const first = () => balancer.first('bookings', 'seats');
      const before = counts(first);
      trial.turn = 1;
      expect([before, counts(first)]).toMatchSnapshot();
    });

    // Guards against retries adding to what a bad version may get.
    it('sends no second attempt there', () => {
      const { balancer, counts } = fleet(['v1', 'v1', 'v2', 'v2']);
      const names = Object.keys(counts(() => balancer.choose('bookings', NONE)));
      expect(names.sort()).to.deep.equal(['v1-0', 'v1-1']);
    });

    // Guards against an upstream being down because it is not known whether its version was ordered.
    it('asks those held back where there is nobody else', () => {
      const { balancer, counts } = fleet(['v3', 'v4']);
      expect(counts(() => balancer.first('bookings', 'seats'))).to.deep.equal({ 'v4-1': 400 });
    });
  });
});

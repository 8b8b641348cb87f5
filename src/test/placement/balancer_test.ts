import * as fc from 'fast-check';
import { expect } from 'chai';
import { type EndpointState, type Liveness, OutcomeError } from '../../contracts.js';
import { expectedFactor, slowedMs } from '../../admission/slowness.js';
import { Roster } from '../../membership/roster.js';
import { Balancer } from '../../placement/balancer.js';
import { VersionRoles, type Role, type TrialShare } from '../../placement/version_roles.js';
import { type EndpointStats } from '../../placement/endpoint_stats.js';
import { ManualClock } from '../manual_clock.js';
import { SeededRandom } from '../../runtime/random.js';
import { memberOf } from '../requests/test_path.js';

const SEED = 11;
/** Time between two requests, in milliseconds. */
const STEP_MS = 50;
const NONE: ReadonlySet<EndpointStats> = new Set();

interface Endpoint {
  readonly name: string;
  readonly dataCentre?: string;
  readonly state?: EndpointState;
  readonly liveness?: Liveness;
}

function setUp(places: readonly Endpoint[]) {
  const clock = new ManualClock();
  const roster = new Roster(memberOf('entry', 1));
  const place = ({ name, dataCentre, state = 'ready', liveness = 'alive' }: Endpoint) => ({
    ...memberOf(name, 1, dataCentre),
    liveness,
    endpoint: { upstream: 'bookings', state, slots: 20 },
  });
  roster.merge(places.map(place));
  const balancer = new Balancer(roster, clock, new SeededRandom(SEED));
  const choose = () => balancer.choose('bookings', NONE);
  /** How often each endpoint is chosen in 200 consecutive requests. */
  const countChoices = (latency: (name: string) => number = () => 1) => {
    const counts: Record<string, number> = {};
    for (let request = 0; request < 200; request++) {
      const chosen = choose()!;
      const name = chosen.member.instance;
      counts[name] = (counts[name] ?? 0) + 1;
      balancer.recordAnswer(chosen, latency(name), undefined, false);
      clock.instant += STEP_MS;
    }
    return counts;
  };
  return { clock, roster, balancer, choose, countChoices, place };
}

const refusal = (reason: string) => new OutcomeError(reason, { verdict: 'not-run', reason });

describe('Balancer', () => {
  const local: Endpoint[] = [{ name: 'a' }, { name: 'b' }, { name: 'c' }];
  const remote: Endpoint[] = [{ name: 'x', dataCentre: 'tobago' }];

  it('prefers the local data centre', () => {
    expect(Object.keys(setUp([...local, ...remote]).countChoices()).sort()).to.deep.equal([
      'a',
      'b',
      'c',
    ]);
  });

  // Guards against requests that go to an instance which takes no more of them now, and are refused.
  it('sends an endpoint with a rate limit no more requests than it has room for', () => {
    const { balancer, clock, choose } = setUp(local);
    const counts: Record<string, number> = {};
    const idle = { inFlight: 0, slots: 20, waiting: 0, heldMs: 1, leavingMs: 0 };
    let nextAt = 0;
    for (let request = 0; request < 200; request++) {
      const chosen = choose()!;
      const name = chosen.member.instance;
      counts[name] = (counts[name] ?? 0) + 1;
      chosen.recordSent(clock.instant);
      const isLimited = name === 'c';
      if (isLimited) nextAt = Math.max(clock.instant, nextAt) + 500;
      const rate = { perSecond: 2, waitMs: nextAt - clock.instant };
      balancer.recordAnswer(chosen, 1, isLimited ? { ...idle, rate } : idle, false);
      clock.instant += STEP_MS;
    }
    expect(counts.c).to.be.within(10, 2 * 200 * (STEP_MS / 1_000));
  });

  it('moves no refused request to an endpoint whose rate limit would make it late', () => {
    const { balancer, clock, choose } = setUp([{ name: 'a' }]);
    const load = { inFlight: 0, slots: 20, waiting: 0, heldMs: 1, leavingMs: 0 };
    balancer.recordAnswer(choose()!, 1, { ...load, rate: { perSecond: 2, waitMs: 400 } }, false);
    const alternative = (withinMs: number) =>
      balancer.chooseAlternative('bookings', NONE, clock.instant + withinMs)?.member.instance;
    expect([alternative(300), alternative(500)]).to.deep.equal([undefined, 'a']);
  });

  it('sends fewer requests to a slow endpoint, and tries it again after a while', () => {
    const { countChoices, clock } = setUp(local);
    const slow = countChoices((name) => (name === 'c' ? 50 : 1));
    clock.instant += 120_000;
    const noise = new SeededRandom(SEED);
    const later = countChoices(() => 1 + noise.next() / 5);
    expect(later.c).to.be.greaterThan(30);
    expect({ slow, later }).toMatchSnapshot();
  });

  // Guards against requests to an endpoint whose machine is known to be slow now, and against one
  // that is avoided after its slow phase by the durations that were measured in it.
  it('expects a request to take longer on a slow machine, for as long as the statement counts', () => {
    const { balancer, clock, choose } = setUp([{ name: 'a' }]);
    const load = { inFlight: 0, slots: 20, waiting: 0, heldMs: 0, leavingMs: 0 };
    const costMs = () => balancer.snapshotOf(choose()!).costMs;
    for (let answer = 0; answer < 40; answer++) balancer.recordAnswer(choose()!, 50, load, false);
    const before = costMs();
    const slowness = { factor: 2.5, ageMs: 20 };
    const slow = { ...load, slowness };
    const tookMs = slowedMs(50, expectedFactor(slowness));
    for (let answer = 0; answer < 40; answer++)
      balancer.recordAnswer(choose()!, tookMs, slow, false);
    const after = [0, 100, 900, 1_980].map((ageMs) => {
      clock.instant += ageMs;
      return costMs();
    });
    expect({ before, after }).toMatchSnapshot();
  });

  // Guards against requests that fail while another data centre has capacity, and against staying
  // there after the local refusals have expired.
  it('uses another data centre while all local endpoints are avoided', () => {
    const { balancer, choose, clock } = setUp([...local, ...remote]);
    for (let refused = 0; refused < 3; refused++) {
      balancer.recordRefusal(choose()!, refusal('overloaded'), undefined);
    }
    expect(choose()!.member.instance).to.equal('x');
    clock.instant += 1_000;
    expect(choose()!.member.dataCentre).to.equal('arima');
  });

  // Guards against an unreachable endpoint being tried too often, or never again.
  it('avoids an unreachable endpoint, for longer each time', () => {
    const { balancer, clock } = setUp([{ name: 'a' }, { name: 'b' }]);
    const lost = balancer.choose('bookings', NONE)!;
    const spans = [1, 2, 3, 4].map(() => {
      balancer.recordRefusal(lost, refusal('unreachable'), undefined);
      const span = lost.avoidUntil - clock.instant;
      clock.instant = lost.avoidUntil;
      return span;
    });
    const least = [250, 500, 1_000, 1_000];
    expect(spans.map((span, index) => span >= least[index]!)).to.deep.equal(Array(4).fill(true));
    expect(spans.every((span) => span <= 2_000)).to.equal(true);
  });

  // Guards against many requests waiting for a connection to an endpoint behind a network partition,
  // where one is enough to find out.
  it('sends a single request to probe an endpoint that was unreachable', () => {
    const { balancer, clock } = setUp([{ name: 'a' }, { name: 'b' }]);
    const lost = balancer.choose('bookings', NONE)!;
    balancer.recordRefusal(lost, refusal('unreachable'), undefined);
    clock.instant = lost.avoidUntil;
    const chosen = Array.from({ length: 20 }, () => {
      const next = balancer.choose('bookings', NONE)!;
      next.recordSent(clock.now());
      return next;
    });
    expect(chosen.filter((next) => next === lost)).to.have.length(1);
    balancer.recordAnswer(lost, 1, undefined, false);
    expect(lost.isAvoided(clock.now())).to.equal(false);
  });

  // Guards against callers waiting in vain during a network partition, when all endpoints are on the
  // other side: no connection could be made, and no heartbeats are answered.
  it('chooses no endpoint if all are suspect and were unreachable', () => {
    const { balancer, choose, clock, roster } = setUp([{ name: 'a' }]);
    const lost = choose()!;
    balancer.recordRefusal(lost, refusal('unreachable'), undefined);
    expect(choose(), 'a single failure may come from a lost packet').to.equal(lost);
    roster.merge([{ ...lost.member, liveness: 'suspect' }]);
    expect(choose()).to.equal(undefined);
    clock.instant = lost.avoidUntil;
    expect(choose(), 'one request probes it').to.equal(lost);
  });

  // Guards against a pause that doubled so often during a long network partition that requests do not
  // return within seconds after its end.
  it('tries an unreachable endpoint again within seconds, however long it was unreachable', () => {
    const { balancer, clock, choose } = setUp([{ name: 'a' }]);
    const lost = choose()!;
    for (let attempt = 0; attempt < 20; attempt++) {
      balancer.recordRefusal(lost, refusal('unreachable'), undefined);
      expect(lost.avoidUntil - clock.instant).to.be.at.most(2_000);
      clock.instant = lost.avoidUntil;
    }
  });

  // Guards against an endpoint that fails each request at once, and attracts all requests because by
  // its latency alone it looks fast.
  it('does not prefer an endpoint because it fails quickly', () => {
    const { balancer, choose } = setUp(local);
    let failing = 0;
    for (let request = 0; request < 300; request++) {
      const chosen = choose()!;
      const isFailing = chosen.member.instance === 'a';
      failing += Number(isFailing);
      balancer.recordAnswer(chosen, isFailing ? 0.1 : 10, undefined, isFailing);
    }
    expect(failing).to.be.lessThan(30);
  });

  it('still chooses an endpoint when all are avoided', () => {
    const { balancer, choose } = setUp([{ name: 'a' }]);
    balancer.recordRefusal(choose()!, refusal('overloaded'), undefined);
    expect(choose()!.member.instance).to.equal('a');
  });

  it('sends fewer requests at first to an endpoint that has just become ready', () => {
    const { roster, countChoices, place, clock } = setUp([{ name: 'a' }, { name: 'b' }]);
    countChoices();
    roster.merge([place({ name: 'c' })]);
    const early = countChoices().c ?? 0;
    clock.instant += 60_000;
    expect([early < 40, countChoices().c! > 40]).to.deep.equal([true, true]);
  });

  it('never chooses an endpoint that is not ready, dead or tried, nor a suspect one before others', () => {
    const state = fc.constantFrom<EndpointState>('ready', 'draining', 'cold', 'down');
    const liveness = fc.constantFrom<Liveness>('alive', 'suspect', 'dead', 'left');
    const dataCentre = fc.constantFrom('arima', 'tobago');
    const places = fc.uniqueArray(
      fc.record({ name: fc.string({ minLength: 1 }), state, liveness, dataCentre }),
      { selector: ({ name }) => name, maxLength: 8 },
    );
    const property = fc.property(places, fc.nat(8), (all, tries) => {
      const { balancer } = setUp(all);
      const tried = new Set<EndpointStats>();
      for (let attempt = 0; attempt < tries; attempt++) {
        const chosen = balancer.choose('bookings', tried);
        if (!chosen) break;
        const { member } = chosen;
        const others = all.filter(
          ({ name }) => ![...tried].some((e) => e.member.instance === name),
        );
        const isAble = (place: Endpoint) => place.state === 'ready' && place.liveness === 'alive';
        expect(member.endpoint?.state).to.equal('ready');
        expect(['alive', 'suspect']).to.include(member.liveness);
        if (others.some(isAble)) expect(member.liveness).to.equal('alive');
        expect(tried.has(chosen)).to.equal(false);
        tried.add(chosen);
      }
    });
    fc.assert(property, { seed: SEED, numRuns: 200 });
  });

  // Guards against an attempt at an endpoint that has reported too many waiting requests: it would be
  // refused there too. A request that is late already needs a slot that is free now.
  it('moves a refused request only to an endpoint that may have capacity', () => {
    const { balancer, clock, choose } = setUp(local);
    const all = new Map<string, EndpointStats>();
    while (all.size < 3) {
      const chosen = choose()!;
      all.set(chosen.member.instance, chosen);
    }
    const [a, b, c] = ['a', 'b', 'c'].map((name) => all.get(name)!);
    const crowded = { inFlight: 6, slots: 6, waiting: 12, heldMs: 100, leavingMs: 0 };
    const targetAt = clock.now() + 300;
    balancer.recordRefusal(a!, refusal('overloaded'), crowded);
    balancer.recordRefusal(b!, refusal('overloaded'), crowded);
    balancer.recordAnswer(c!, 100, { ...crowded, waiting: 1 }, false);
    expect(balancer.chooseAlternative('bookings', new Set([a!]), targetAt)).to.equal(c);
    expect(balancer.chooseAlternative('bookings', new Set([a!, c!]), targetAt)).to.equal(undefined);
    expect(balancer.chooseAlternative('bookings', new Set([a!]), clock.now() - 1)).to.equal(
      undefined,
    );
  });

  it('chooses an endpoint again when its report of a full queue has expired', () => {
    const { balancer, clock } = setUp([{ name: 'a' }]);
    const a = balancer.choose('bookings', NONE)!;
    const crowded = { inFlight: 6, slots: 6, waiting: 30, heldMs: 100, leavingMs: 0 };
    balancer.recordRefusal(a, refusal('overloaded'), crowded);
    expect(balancer.chooseAlternative('bookings', NONE, clock.now() + 300)).to.equal(undefined);
    clock.instant += 300;
    expect(balancer.chooseAlternative('bookings', NONE, clock.now() + 300)).to.equal(a);
  });

  describe('with a version on trial', () => {
    const roles: Record<string, Role> = { v1: 'stable', v2: 'trial', v3: 'shut', v4: 'held' };

    class TrialRoles extends VersionRoles {
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
      const { clock, roster, place } = setUp([]);
      const members = versions.map((version, index) => {
        const member = place({ name: `${version}-${index}` });
        return { ...member, endpoint: { ...member.endpoint, version } };
      });
      roster.merge(members);
      const trial = new TrialRoles();
      const balancer = new Balancer(roster, clock, new SeededRandom(SEED), trial);
      const counts = (choose: () => EndpointStats | undefined) => {
        const found: Record<string, number> = {};
        for (let request = 0; request < 400; request++) {
          const name = choose()?.member.instance ?? 'nobody';
          found[name] = (found[name] ?? 0) + 1;
        }
        return found;
      };
      return { balancer, trial, counts };
    }

    it('sends its share to the endpoints whose turn it is, and nothing to shut or held ones', () => {
      const versions = ['v1', 'v1', 'v2', 'v2', 'v2', 'v2', 'v3', 'v4'];
      const { balancer, trial, counts } = fleet(versions);
      const first = () => balancer.first('bookings', 'seats');
      const before = counts(first);
      trial.turn = 1;
      expect([before, counts(first)]).toMatchSnapshot();
    });

    // Guards against retries adding to the requests that a bad version may get.
    it('sends no retry to the version on trial', () => {
      const { balancer, counts } = fleet(['v1', 'v1', 'v2', 'v2']);
      const names = Object.keys(counts(() => balancer.choose('bookings', NONE)));
      expect(names.sort()).to.deep.equal(['v1-0', 'v1-1']);
    });

    // Guards against an outage of an upstream while it is not known whether its version was ordered.
    it('chooses held endpoints if there are no others', () => {
      const { balancer, counts } = fleet(['v3', 'v4']);
      expect(counts(() => balancer.first('bookings', 'seats'))).to.deep.equal({ 'v4-1': 400 });
    });
  });
});

import { expect } from 'chai';
import { type Pattern, readPattern } from '../../bench/replay/pattern.js';
import { FormerPolicy, CurrentPolicy, SimplePolicy } from '../../bench/replay/policy.js';
import { replay, type ReplayResult } from '../../bench/replay/replay.js';
import { NO_TEAMS } from '../../bench/replay/team_policies.js';
import { jainIndex, maxMinShares } from '../../bench/replay/team_stats.js';
import { SLOWNESS_POLICIES } from '../../bench/replay/slowness_policies.js';

/** Largest loss of worth accepted by the users where another policy does better. */
const MAX_WORTH_LOSS = 0.03;
const SEEDS: readonly number[] = [1, 2, 3];
/** Largest share of all requests that may be answered late while no fault occurs. */
const MAX_LATE_SHARE = 0.01;
/** Smallest share of the links' capacity that has to be delivered in time; answers vary in size. */
const MIN_DELIVERED_SHARE = 0.9;
/** Smallest index of fairness between teams at twice the capacity. */
const MIN_JAIN = 0.95;
/** Smallest part of the requests served today that has to be served where slots are shared fairly. */
const MIN_SERVED_PART = 0.99;
const patternOf = (name: string) => readPattern(`bench/patterns/${name}.json`);

describe('replay', function replays() {
  this.timeout(60_000);

  // A refused caller who returns is already late. Treated as new, it takes the slot of a caller who
  // can still be answered in time, and the same slots then serve fewer callers in time.
  it('answers more requests in time under sustained overload than the former policy', async () => {
    const pattern = await patternOf('sustained_overload');
    for (const seed of SEEDS) {
      const current = await replay(pattern, new CurrentPolicy(), seed);
      const former = await replay(pattern, new FormerPolicy(), seed);
      expect(current.inTarget, `seed ${seed}`).to.be.greaterThan(former.inTarget);
      expect(current.worth, `seed ${seed}`).to.be.greaterThan(former.worth);
    }
  });

  // When callers move to the data centre with the fewest slots, small lookups should go to the
  // others; downloads, sixty times as large, should wait for a local slot as long as they can.
  it('sends fewer bytes between data centres when callers move, without serving them worse', async () => {
    const pattern = await patternOf('shift');
    for (const seed of SEEDS) {
      const current = await replay(pattern, new CurrentPolicy(), seed);
      const former = await replay(pattern, new FormerPolicy(), seed);
      expect(current.crossedMb, `seed ${seed}`).to.be.lessThan(former.crossedMb);
      expect(current.worth, `seed ${seed}`).to.be.at.least(former.worth - MAX_WORTH_LOSS);
    }
  });

  // Admission by slots alone accepts more downloads than the links carry: they queue on the links and
  // delay the short answers of the same processes, so that bookings fail.
  it('keeps other answers in time when downloads exceed the capacity of the links', async () => {
    const pattern = await patternOf('narrow_links');
    const perMs = sum(pattern.upstreams.flatMap(({ instances }) => instances).map(linkBytesPerMs));
    const linkCapacityBytes = perMs * pattern.seconds * 1_000;
    const { answerBytes } = pattern.kinds.find(({ name }) => name === 'pack')!;
    for (const seed of SEEDS) {
      const narrow = await replay(pattern, new CurrentPolicy(), seed);
      const wide = await replay(withoutLinks(pattern), new CurrentPolicy(), seed);
      const { confirm = 0, pack = 0 } = narrow.worthByKind;
      const deliverable = linkCapacityBytes / (narrow.owedByKind.pack! * answerBytes);
      expect(confirm, `seed ${seed}`).to.be.at.least(wide.worthByKind.confirm! - MAX_WORTH_LOSS);
      expect(pack, `seed ${seed}`).to.be.at.least(deliverable * MIN_DELIVERED_SHARE);
    }
  });

  // If the queue for the link is as long as the target allows for an answer of usual size, every
  // answer behind a large one is late.
  it('starts few downloads that would be late, although they vary in size', async () => {
    const pattern = await patternOf('varied_answers');
    for (const seed of SEEDS) {
      const { late } = await replay(pattern, new CurrentPolicy(), seed);
      expect(late, `seed ${seed}`).to.be.at.most(MAX_LATE_SHARE);
    }
  });

  // Guards against a use of the stated slowness that serves callers worse than to ignore it.
  it('answers more requests in time on machines with slow phases than without their figure', async () => {
    const pattern = await patternOf('slow_phases_low');
    const ignoring = SLOWNESS_POLICIES.find(({ name }) => name === 'ignored')!;
    for (const seed of SEEDS) {
      const current = await replay(pattern, new CurrentPolicy(), seed);
      const ignored = await replay(pattern, ignoring, seed);
      expect(current.inTarget, `seed ${seed}`).to.be.greaterThan(ignored.inTarget);
    }
  });

  // Guards against a replay in which requests that were refused end by an error of the replay itself.
  it('counts as failed only what an instance has failed', async () => {
    const { refused, failed } = await replay(await patternOf('cut'), new CurrentPolicy(), 1);
    expect(failed).to.be.lessThan(refused);
  });

  // With a FIFO queue every caller is served just too late, even after the burst has ended.
  it('recovers from a burst from which a FIFO queue does not recover', async () => {
    const pattern = await patternOf('burst');
    const current = await replay(pattern, new CurrentPolicy(), 1);
    const simple = await replay(pattern, new SimplePolicy(), 1);
    expect(current.worth).to.be.greaterThan(simple.worth);
    expect(current.worstWindow).to.be.greaterThan(simple.worstWindow);
  });

  for (const name of ['teams_flood', 'teams_patient']) {
    // Guards against a team that gets more because it asks for more, or because its requests occupy
    // the line, and against slots that stay free or serve late requests for the sake of shares.
    it(`shares slots between teams and serves as many requests: ${name}`, async function shares() {
      // Six replays take 25 s on an idle machine.
      this.timeout(180_000);
      const pattern = await patternOf(name);
      const fair: ReplayResult[] = [];
      const unfair: ReplayResult[] = [];
      for (const seed of SEEDS) {
        fair.push(await replay(pattern, new CurrentPolicy(), seed));
        unfair.push(await replay(pattern, NO_TEAMS, seed));
      }
      const inTarget = (results: ReplayResult[]) => sum(results.map((result) => result.inTarget));
      const served = (results: ReplayResult[]) => inTarget(results) + sum(results.map(lateOf));
      for (const { jain, seed } of fair) expect(jain, `seed ${seed}`).to.be.at.least(MIN_JAIN);
      for (const { jain, seed } of unfair) expect(jain, `seed ${seed}`).to.be.lessThan(MIN_JAIN);
      expect(inTarget(fair)).to.be.at.least(inTarget(unfair) * MIN_SERVED_PART);
      expect(served(fair)).to.be.at.least(served(unfair) * MIN_SERVED_PART);
    });
  }

  // Guards against a deployment without teams that is served in another order than before.
  it('decides without teams as if there were no shares', async () => {
    const { policy, ...result } = await replay(await patternOf('burst'), new CurrentPolicy(), 1);
    const expected = await replay(await patternOf('burst'), NO_TEAMS, 1);
    expect({ ...result, policy: NO_TEAMS.name }, policy).to.deep.equal(expected);
  });

  it('computes max-min fair shares and their index', () => {
    expect(maxMinShares([1, 10, 4, 10], 15)).to.deep.equal([1, 5, 4, 5]);
    expect([jainIndex([2, 2, 2]), jainIndex([1, 0, 0, 0]), jainIndex([])]).to.deep.equal([
      1, 0.25, 1,
    ]);
  });

  it('gives the same result for the same seed', async () => {
    const pattern = await patternOf('cut');
    const first = await replay(pattern, new CurrentPolicy(), 5);
    expect(await replay(pattern, new CurrentPolicy(), 5)).to.deep.equal(first);
  });

  it('reports the file and the field of an error in a pattern', async () => {
    const failure = await readPattern('package.json').catch((error: Error) => error.message);
    expect(failure).to.match(/^package\.json: .*upstreams/s);
  });
});

const lateOf = ({ late }: ReplayResult) => late;

type Instance = Pattern['upstreams'][number]['instances'][number];

function linkBytesPerMs({ linkKbps = 0 }: Instance): number {
  return linkKbps / 8;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** The same callers and instances, with links of unlimited bandwidth. */
function withoutLinks(pattern: Pattern): Pattern {
  const wide = (instance: Instance) => ({ ...instance, linkKbps: undefined });
  const upstreams = pattern.upstreams.map((upstream) => ({
    ...upstream,
    instances: upstream.instances.map(wide),
  }));
  return { ...pattern, upstreams };
}

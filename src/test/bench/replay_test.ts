import { expect } from 'chai';
import { readPattern } from '../../bench/replay/pattern.js';
import { Former, Ours, Simple } from '../../bench/replay/policy.js';
import { replay } from '../../bench/replay/replay.js';

/** What is better elsewhere may cost a deployment so much worth at most: the users' bound. */
const FALL = 0.03;
const SEEDS: readonly number[] = [1, 2, 3];
const patternOf = (name: string) => readPattern(`bench/patterns/${name}.json`);

describe('replay', function replays() {
  this.timeout(60_000);

  // More lookups come for half a minute than there are slots for. Who is refused comes back, late
  // already, and says only how much longer it waits. Taken for new it would get the slot of one who
  // can still be answered in time; the same slots then serve fewer in time, on every seed.
  it('serves more in time under sustained overload than the former rules', async () => {
    const pattern = await patternOf('sustained_overload');
    for (const seed of SEEDS) {
      const ours = await replay(pattern, new Ours(), seed);
      const former = await replay(pattern, new Former(), seed);
      expect(ours.inTarget, `seed ${seed}`).to.be.greaterThan(former.inTarget);
      expect(ours.worth, `seed ${seed}`).to.be.greaterThan(former.worth);
    }
  });

  // Half of all callers move to the data centre with the fewest slots. Lookups go to the others;
  // a download weighs sixty times as much and waits for a slot nearby as long as it can.
  it('lets fewer bytes cross when callers move, and serves them as well', async () => {
    const pattern = await patternOf('shift');
    for (const seed of SEEDS) {
      const ours = await replay(pattern, new Ours(), seed);
      const former = await replay(pattern, new Former(), seed);
      expect(ours.crossedMb, `seed ${seed}`).to.be.lessThan(former.crossedMb);
      expect(ours.worth, `seed ${seed}`).to.be.at.least(former.worth - FALL);
    }
  });

  // In order of arrival everybody is served just too late, also after the burst has gone.
  it('recovers from a burst that order of arrival does not recover from', async () => {
    const pattern = await patternOf('burst');
    const ours = await replay(pattern, new Ours(), 1);
    const simple = await replay(pattern, new Simple(), 1);
    expect(ours.worth).to.be.greaterThan(simple.worth);
    expect(ours.worstWindow).to.be.greaterThan(simple.worstWindow);
  });

  it('plays the same run for the same seed', async () => {
    const pattern = await patternOf('cut');
    const first = await replay(pattern, new Ours(), 5);
    expect(await replay(pattern, new Ours(), 5)).to.deep.equal(first);
  });

  it('says what is wrong with a pattern', async () => {
    const failure = await readPattern('package.json').catch((error: Error) => error.message);
    expect(failure).to.match(/^package\.json: .*upstreams/s);
  });
});

import { expect } from 'chai';
import { PROMPT } from '../../membership/pace.js';
import { SeededRandom } from '../../runtime/random.js';
import { APPLY_MS, ObjectFleet } from './object_fleet.js';

const SIZES = { arima: 6, chaguanas: 6, couva: 6 };
const READERS = 6;
describe('the readers', () => {
  // Guards against versions that reach nobody while the store turns away just the processes that
  // rank as readers and serves all others.
  for (const isSilent of [false, true]) {
    it(`have others read while the store ${isSilent ? 'does not answer' : 'refuses'} them`, async () => {
      for (const seed of [1, 2, 3]) {
        await using objects = await ObjectFleet.start(seed, SIZES);
        const { fleet } = objects;
        const random = new SeededRandom(seed);
        for (let round = 0; round < 4; round += 1) {
          await fleet.time.advance(random.below(2_500));
          fleet.isSilentlyCut = isSilent;
          objects.turnAway(objects.readers.map(({ name }) => name));
          await fleet.time.advance(random.below(1_000));
          for (let version = 0; version < 3; version += 1) {
            await objects.write();
            await fleet.time.advance(APPLY_MS);
            expect(objects.behind, `seed ${seed}, round ${round}`).to.deep.equal([]);
          }
          fleet.cutOff.clear();
          await fleet.time.advance(4_000);
        }
      }
    });
  }

  // Guards against a delegate that is turned away as well, and against a set of processes that
  // changes faster than readers regain contact.
  it('find others when the processes that the store serves keep changing', async () => {
    for (const seed of [1, 2, 3]) {
      await using objects = await ObjectFleet.start(seed, SIZES);
      const { fleet } = objects;
      const random = new SeededRandom(seed);
      const names = [...fleet.nodes.keys()];
      for (let round = 0; round < 10; round += 1) {
        const readers = objects.readers.map(({ name }) => name);
        const others = random.shuffled(names.filter((name) => !readers.includes(name)));
        objects.turnAway([...readers, ...others.slice(0, 4)]);
        await fleet.time.advance(500);
        await objects.write();
        await fleet.time.advance(APPLY_MS);
        expect(objects.behind, `seed ${seed}, round ${round}`).to.deep.equal([]);
        objects.turnAway(random.shuffled(names).slice(0, 6));
        await fleet.time.advance(500);
      }
    }
  });

  // Guards against a storm of calls while the store turns everybody away, and against delegates that
  // go on reading after it.
  it('keep the number of calls low when the store turns everybody away', async () => {
    await using objects = await ObjectFleet.start(1, SIZES);
    const { fleet } = objects;
    const callsIn = async (ms: number) => {
      const before = objects.callCount;
      await fleet.time.advance(ms);
      return objects.callCount - before;
    };
    const calm = await callsIn(20_000);
    objects.turnAway([...fleet.nodes.keys()]);
    const first = await callsIn(1_000);
    const away = await callsIn(20_000);
    fleet.cutOff.clear();
    await fleet.time.advance(5_000);
    const again = await callsIn(20_000);
    const watchesIn20s = (READERS * 20_000) / PROMPT.watchTimeoutMs;
    expect(first).to.be.at.most(READERS * 5);
    expect(away).to.be.at.most(READERS * 20 * 2);
    expect([calm, again].map((calls) => calls <= watchesIn20s * 1.6)).to.deep.equal([true, true]);
    await objects.write();
    await fleet.time.advance(APPLY_MS);
    expect(objects.behind).to.deep.equal([]);
  });
});

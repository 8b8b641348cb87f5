import { expect } from 'chai';
import { READERS_PER_DATA_CENTRE } from '../../membership/ranking.js';
import { SeededRandom } from '../../runtime/random.js';
import { APPLY_MS, ObjectFleet } from './object_fleet.js';
import { type Node } from './test_fleet.js';

const SIZES = { amman: 6, salt: 6, irbid: 6, zarqa: 6 };
const DATA_CENTRES = Object.keys(SIZES);
const VERSIONS = 3;
const VERSION_INTERVAL_MS = 300;
const RECOVERY_MS = 12_000;

/** Writes versions in quick succession, and checks each when it has to be in force. */
async function expectVersionsInForce(objects: ObjectFleet, what: string): Promise<void> {
  for (let version = 0; version < VERSIONS; version += 1) {
    await objects.write();
    await objects.fleet.time.advance(VERSION_INTERVAL_MS);
  }
  await objects.fleet.time.advance(APPLY_MS - VERSION_INTERVAL_MS);
  expect(objects.behind, what).to.deep.equal([]);
}

describe('processes beside readers that stand still', () => {
  // Guards against versions that reach nobody because all readers are paused while their links stay open.
  it('have each version in time when all readers are paused', async () => {
    for (const seed of [1, 2, 3]) {
      await using objects = await ObjectFleet.start(seed, SIZES);
      const random = new SeededRandom(seed);
      for (let wave = 0; wave < 3; wave += 1) {
        await objects.fleet.time.advance(random.below(2_500));
        objects.freeze(objects.readers);
        await objects.fleet.time.advance(random.below(500));
        await expectVersionsInForce(objects, `seed ${seed}, wave ${wave}`);
        // By now silent links are closed, and the paused readers become suspects.
        await expectVersionsInForce(objects, `seed ${seed}, wave ${wave}, later`);
        objects.thaw();
        await objects.fleet.time.advance(RECOVERY_MS);
      }
    }
  });

  // Guards against a process that starts meanwhile and is never ready, or ready with an old version.
  it('are ready with the newest version when they start then', async () => {
    await using objects = await ObjectFleet.start(1, SIZES);
    const { fleet } = objects;
    objects.freeze(objects.readers);
    await objects.write();
    const others = fleet.alive.filter(({ name }) => !objects.frozen.has(name));
    const restarted = others.slice(0, 4).map(({ name, host }) => {
      fleet.kill(name);
      return fleet.launch(name, host.dataCentre);
    });
    await fleet.time.advance(APPLY_MS);
    const ready = restarted.filter(({ control }) => control.readiness.isReady);
    expect([ready.length, objects.behind]).to.deep.equal([restarted.length, []]);
  });

  // Guards against a data centre that gets no versions when those that take over are paused in turn.
  for (const dataCentres of [DATA_CENTRES.slice(0, 1), DATA_CENTRES]) {
    it(`have them when those that take over are paused too, in ${dataCentres.length} of 4 data centres`, async () => {
      for (const seed of [1, 2, 3]) {
        await using objects = await ObjectFleet.start(seed, SIZES);
        const { fleet } = objects;
        await fleet.time.advance(new SeededRandom(seed).below(2_500));
        const next = (dataCentre: string, wave: number): Node[] =>
          fleet
            .ranked(dataCentre)
            .filter(({ name }) => !objects.frozen.has(name))
            .slice(0, wave === 0 ? READERS_PER_DATA_CENTRE : 1);
        for (let wave = 0; wave < 3; wave += 1) {
          objects.freeze(dataCentres.flatMap((name) => next(name, wave)));
          await expectVersionsInForce(objects, `seed ${seed}, wave ${wave}`);
        }
        objects.thaw();
        await fleet.time.advance(RECOVERY_MS);
        expect(objects.behind).to.deep.equal([]);
      }
    });
  }
});

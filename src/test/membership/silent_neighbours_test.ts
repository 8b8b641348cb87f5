import { expect } from 'chai';
import { SeededRandom } from '../../runtime/random.js';
import { APPLY_MS, ObjectFleet } from '../distribution/object_fleet.js';

const SIZES = { arima: 18, chaguanas: 17, couva: 14, penal: 13 };
const FANOUT = 8;
const PAUSED_SHARE = 0.35;
/** By then the links that were only needed for joining are closed. */
const SETTLE_MS = 12_000;

describe('neighbours that are silent', function silent() {
  this.timeout(120_000);

  // Guards against processes that hold an old version because all their neighbours are paused.
  it('are passed over, so that a version reaches all others when a third of a fleet is paused', async () => {
    for (const seed of [2, 11, 24]) {
      await using objects = await ObjectFleet.start(seed, SIZES, FANOUT);
      const { time, alive } = objects.fleet;
      const random = new SeededRandom(seed);
      await time.advance(SETTLE_MS);
      objects.freeze(random.shuffled(alive).slice(0, Math.round(alive.length * PAUSED_SHARE)));
      await time.advance(random.below(500));
      await objects.write();
      await time.advance(APPLY_MS);
      expect(objects.behind, `seed ${seed}`).to.deep.equal([]);
    }
  });
});

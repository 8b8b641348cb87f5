import { expect } from 'chai';
import { PROMPT } from '../../membership/pace.js';
import { ObjectFeed } from '../../platform/object_feed.js';
import { SeededRandom } from '../../runtime/random.js';
import { type InterruptiblePlatform } from '../../standins/interruptible_platform.js';
import { type Node, TestFleet } from './test_fleet.js';

const KEY = 'config/main';
const SIZES = { arima: 6, chaguanas: 6, couva: 6 };
const READERS = 6;
/** Time from the acknowledgement of a version until it has to be in force, in milliseconds. */
const APPLY_MS = 2_000;

/** A fleet whose processes read the operator's object, and the calls that they make to the store. */
class ObjectFleet implements AsyncDisposable {
  #number = 0;

  private constructor(
    readonly fleet: TestFleet,
    readonly platforms: ReadonlyMap<string, InterruptiblePlatform>,
  ) {}

  static async start(seed: number) {
    const platforms = new Map<string, InterruptiblePlatform>();
    const fleet = await TestFleet.start({
      sizes: SIZES,
      seed,
      pace: PROMPT,
      feed: (replica, clock, _, platform) => new ObjectFeed(platform, replica, clock),
      onLaunch: ({ name }, platform) => platforms.set(name, platform as InterruptiblePlatform),
    });
    const started = new ObjectFleet(fleet, platforms);
    await started.write();
    await fleet.time.advance(APPLY_MS + 1_000);
    return started;
  }

  async write(): Promise<void> {
    const { platform, clock } = this.fleet;
    this.#number += 1;
    const value = JSON.stringify({ version: `r${this.#number}`, routes: {}, services: {} });
    const stored = await platform.get(KEY, clock.now());
    if (stored) await platform.update(KEY, value, stored.revision, clock.now());
    else await platform.create(KEY, value, clock.now());
  }

  get readers(): Node[] {
    return this.fleet.alive.filter(({ control }) => control.ranking.isReader);
  }

  get callCount(): number {
    return [...this.platforms.values()].reduce((sum, { calls }) => sum + calls, 0);
  }

  /** Names of processes that are in touch with the store and do not hold the newest version. */
  get behind(): string[] {
    return this.fleet.alive
      .filter(({ name }) => !this.fleet.cutOff.has(name))
      .filter(({ control }) => control.replica.current.number < this.#number)
      .map(({ name }) => name);
  }

  turnAway(names: readonly string[]): void {
    this.fleet.cutOff.clear();
    names.forEach((name) => this.fleet.cutOff.add(name));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.fleet[Symbol.asyncDispose]();
  }
}

describe('the readers', () => {
  // Guards against versions that reach nobody while the store turns away just the processes that
  // rank as readers and serves all others.
  for (const isSilent of [false, true]) {
    it(`have others read while the store ${isSilent ? 'does not answer' : 'refuses'} them`, async () => {
      for (const seed of [1, 2, 3]) {
        await using objects = await ObjectFleet.start(seed);
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
      await using objects = await ObjectFleet.start(seed);
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
    await using objects = await ObjectFleet.start(1);
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

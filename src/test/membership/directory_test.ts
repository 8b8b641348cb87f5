import { expect } from 'chai';
import { type Member } from '../../contracts.js';
import { MAX_REMOVED_PER_WRITE, Directory, MAX_REGISTERED } from '../../membership/directory.js';
import { Ranking } from '../../membership/ranking.js';
import { registrationOf, Registrations } from '../../membership/registration.js';
import { Roster } from '../../membership/roster.js';
import { MAX_VALUE_BYTES } from '../../platform/platform.js';
import { SeededRandom } from '../../runtime/random.js';
import { PlatformStore } from '../../standins/platform_store.js';
import { FakeTime } from '../fake_time.js';
import { memberOf } from './member.js';

const KEY = 'directory/arima';
const CYCLES_MS = 60_000;

class World implements Disposable {
  readonly time = new FakeTime();

  readonly platform = new PlatformStore(this.time.clock);

  readonly stopping = new AbortController();

  /** Starts the directory task of a process, which writes while it is root in its own roster. */
  process(self: Member, known: readonly Member[] = []): { roster: Roster; directory: Directory } {
    const { clock } = this.time;
    const roster = new Roster(self);
    roster.merge(known);
    const ranking = new Ranking(roster, 8);
    const random = new SeededRandom(roster.size);
    const directory = new Directory(this.platform, roster, ranking, clock, random);
    void directory.run(this.stopping.signal);
    return { roster, directory };
  }

  async registered(): Promise<string[]> {
    const stored = await this.platform.get(KEY, this.time.clock.now() + 1);
    if (!stored) return [];
    return Registrations.parse(JSON.parse(stored.value)).members.map(({ instance }) => instance);
  }

  [Symbol.dispose](): void {
    this.stopping.abort();
    this.time[Symbol.dispose]();
  }
}

function byRank(names: readonly string[]): readonly Member[] {
  const members = names.map((name) => memberOf(name));
  const roster = new Roster(members[0]!);
  roster.merge(members);
  return new Ranking(roster, 8).ranked('arima');
}

describe('Directory', () => {
  it('registers the addresses of members, and writes only when these change', async () => {
    using world = new World();
    const { roster } = world.process(memberOf('a'));
    await world.time.advance(CYCLES_MS);
    const { writes } = world.platform.calls;
    expect(writes).to.equal(1);
    roster.setEndpoint({ upstream: 'listings', state: 'ready', slots: 20 });
    await world.time.advance(CYCLES_MS);
    expect(world.platform.calls.writes).to.equal(writes);
    const stored = await world.platform.get(KEY, world.time.clock.now() + 1);
    expect(JSON.parse(stored!.value)).toMatchSnapshot();
  });

  // Guards against processes that start without links, all rank themselves root and overwrite each
  // other's registration. There are no links in this test: knowing another member is enough.
  it('connects islands of processes that write at the same time', async () => {
    using world = new World();
    const names = ['a', 'b', 'c', 'd'];
    const islands = names.map((name) => world.process(memberOf(name)));
    await world.time.advance(CYCLES_MS);
    const met = new Set(['a']);
    for (const { roster } of [...islands, ...islands, ...islands]) {
      const known = roster.all().map(({ instance }) => instance);
      if (known.some((name) => met.has(name))) known.forEach((name) => met.add(name));
    }
    expect([...met].sort()).to.eql(names);
    const conflicts = islands.reduce((sum, { directory }) => sum + directory.conflicts, 0);
    expect(conflicts).to.be.above(0);
  });

  // Guards against a repeated write, or none, when a write took effect but its response was lost.
  it('resolves a write whose response was lost', async () => {
    using world = new World();
    world.platform.faults.loseAnswers = 1;
    world.process(memberOf('a'));
    await world.time.advance(CYCLES_MS);
    expect(await world.registered()).to.eql(['a']);
    expect(world.platform.calls.writes).to.equal(1);
  });

  // Guards against a burst of calls, or no registration, after the platform was down and then so
  // slow that every call timed out.
  it('registers after an outage, at its usual rate', async () => {
    using world = new World();
    world.platform.faults.down = true;
    world.process(memberOf('a'));
    await world.time.advance(CYCLES_MS);
    Object.assign(world.platform.faults, { down: false, slowMs: 5_000 });
    await world.time.advance(CYCLES_MS);
    world.platform.faults.slowMs = 0;
    await world.time.advance(CYCLES_MS);
    expect(await world.registered()).to.eql(['a']);
    const { reads, writes } = world.platform.calls;
    expect(reads + writes).to.be.at.most((3 * CYCLES_MS) / 5_000);
  });

  // Guards against a lost update: a root reads the object and is paused before its write, and
  // another root writes meanwhile.
  it('does not let a paused root overwrite the registrations of another', async () => {
    using world = new World();
    const [root, other] = byRank(['b', 'c']);
    const { directory } = world.process(root!);
    const { platform } = world;
    const { create } = platform;
    platform.create = async (key, value, deadline) => {
      platform.create = create;
      await platform.create(KEY, JSON.stringify({ members: [registrationOf(other!)] }), deadline);
      return platform.create(key, value, deadline);
    };
    await world.time.advance(CYCLES_MS);
    expect(directory.conflicts).to.equal(1);
    expect(await world.registered()).to.eql(['b', 'c']);
  });

  it('removes dead members, a bounded number per write', async () => {
    using world = new World();
    const others = Array.from({ length: 40 }, (_, index) => memberOf(`i${index}`));
    const { roster } = world.process(memberOf('a'), others);
    for (const { instance } of others) roster.setLiveness(instance, 'dead');
    await world.platform.create(
      KEY,
      JSON.stringify({ members: others.map(registrationOf) }),
      world.time.clock.now() + 1,
    );
    const sizes: number[] = [];
    for (let cycle = 0; cycle < 7; cycle++) {
      await world.time.advance(10_000);
      sizes.push((await world.registered()).length);
    }
    expect(Math.max(...sizes.slice(1).map((size, at) => sizes[at]! - size))).to.be.at.most(
      MAX_REMOVED_PER_WRITE,
    );
    expect(sizes).toMatchSnapshot();
  });

  it('keeps the object below the maximum value size', async () => {
    using world = new World();
    const others = Array.from({ length: 2 * MAX_REGISTERED }, (_, index) =>
      memberOf(`bookings-san-fernando-${index}`, { incarnation: 1_790_000_000_000 }),
    );
    const { roster, directory } = world.process(memberOf('a'));
    roster.merge(others, { isBulk: true });
    for (const { instance } of new Ranking(roster, 8).ranked('arima')) {
      if (instance === 'a') break;
      roster.setLiveness(instance, 'left');
    }
    await world.time.advance(CYCLES_MS);
    const stored = await world.platform.get(KEY, world.time.clock.now() + 1);
    expect(stored!.value.length).to.be.below(MAX_VALUE_BYTES);
    expect(directory.conflicts).to.equal(0);
    expect(Math.round((740 * stored!.value.length) / MAX_REGISTERED)).toMatchSnapshot();
  });
});

import { expect } from 'chai';
import { type Resource, Route, Upstream } from '../../contracts.js';
import { type Replica } from '../../distribution/replica.js';
import { PROMPT } from '../../membership/pace.js';
import { type Clock } from '../../runtime/clock.js';
import { SeededRandom } from '../../runtime/random.js';
import { NewestObject, TardyFeed } from './newest_object.js';
import { StillFeed } from './still_feed.js';
import { type Node, TestFleet } from './test_fleet.js';

const SIZES = { arima: 10, chaguanas: 9 };
const SEEDS = [1, 2];
const VERSIONS = 30;
/** Versions that come after the faults. */
const CALM_VERSIONS = 15;
const VERSION_EVERY_MS = 600;
/** How late readers may be: they then skip versions, each another one. */
const TARDY_MS = 1_500;
/** Within this time after the faults the fleet has found together again, in milliseconds. */
const SETTLE_MS = 3_000;
/** Within this time after that every process holds the newest version, in milliseconds. */
const IN_FORCE_MS = 5_000;

const listings = Upstream.parse({ kind: 'upstream', name: 'listings' });

function route(name: string, timeoutMs: number): Resource {
  const pathPrefix = `/${name}`;
  return Route.parse({ kind: 'route', name, pathPrefix, upstream: 'listings', timeoutMs });
}

/** What changes in a version: mostly one route of the first ones, at times many new ones. */
function changeOf(version: number, random: SeededRandom): Resource[] {
  if (version === 1) {
    return [listings, ...Array.from({ length: 300 }, (_, index) => route(`r${index}`, 1_000))];
  }
  const count = version % 10 === 0 ? 400 : 1;
  const name = (index: number) => (count > 1 ? `v${version}-${index}` : `r${random.below(300)}`);
  return Array.from({ length: count }, (_, index) => route(name(index), 1_000 + version));
}

/** One thing that goes wrong, or ends. */
function disturb(fleet: TestFleet, random: SeededRandom): void {
  const nodes = [...fleet.nodes.values()];
  const [node, other] = random.shuffled(nodes) as [Node, Node];
  const [dataCentre] = random.shuffled(Object.keys(SIZES)) as [string];
  const events = [
    () => node.isAlive && fleet.kill(node.name, 'closed'),
    () => node.isAlive && fleet.kill(node.name, 'silent'),
    () => node.isAlive || fleet.launch(node.name, node.host.dataCentre),
    () => fleet.network.silence(node.host, other.host),
    () => fleet.cutOff.add(dataCentre),
    () => fleet.cutOff.clear(),
    () => fleet.network.cut('arima', 'chaguanas'),
    () => fleet.network.heal(),
    () => node.host.gate.shut(),
    () => node.host.gate.open(),
  ];
  random.shuffled(events)[0]!();
}

function heal(fleet: TestFleet): void {
  fleet.cutOff.clear();
  fleet.network.heal();
  for (const node of fleet.nodes.values()) {
    if (node.isAlive) node.host.gate.open();
    else fleet.launch(node.name, node.host.dataCentre);
  }
}

async function play(seed: number): Promise<readonly string[]> {
  const object = new NewestObject();
  const random = new SeededRandom(seed);
  const writtenAt = new Map<number, number>();
  const found: string[] = [];
  await using fleet = await TestFleet.start({
    sizes: SIZES,
    seed,
    pace: PROMPT,
    feed: (replica, clock, isCut) => new TardyFeed(object, replica, clock, random, isCut, TARDY_MS),
  });
  const write = async (version: number) => {
    object.write(changeOf(version, random), 1 + random.below(3));
    writtenAt.set(object.number, fleet.clock.now());
    await fleet.time.advance(VERSION_EVERY_MS);
  };
  const look = () => {
    const due = fleet.clock.now() - IN_FORCE_MS;
    const least = [...writtenAt].findLast(([, at]) => at <= due)?.[0] ?? 0;
    for (const { name, control } of fleet.alive) {
      const { number } = control.replica.current;
      if (number < least) found.push(`seed ${seed}: ${name} holds ${number} and not ${least}`);
    }
  };
  for (let version = 1; version <= VERSIONS; version++) {
    await write(version);
    if (version > 2) disturb(fleet, random);
  }
  heal(fleet);
  await fleet.time.advance(SETTLE_MS);
  for (let version = 1; version <= CALM_VERSIONS; version++) {
    await write(VERSIONS + version);
    look();
  }
  await fleet.time.advance(IN_FORCE_MS);
  look();
  return found;
}

describe('versions that readers skip', () => {
  // Guards against a process that stays behind for good: what it holds is no version of its peers.
  it('do not keep a process behind that holds one of them', async () => {
    const sizes = { arima: 1, chaguanas: 1 };
    const feed = (_: Replica, clock: Clock) => new StillFeed(clock);
    await using fleet = await TestFleet.start({ sizes, pace: PROMPT, feed });
    const [near, far] = fleet.alive.map(({ control }) => control.replica) as [Replica, Replica];
    const all = [
      listings,
      ...Array.from({ length: 1_500 }, (_, index) => route(`r${index}`, 1_000)),
    ];
    const write = (replica: Replica, number: number) =>
      replica.replace(number, [...all.slice(0, -1), route('r1499', number)], fleet.clock.now());
    write(near, 20);
    await fleet.time.advance(IN_FORCE_MS);
    expect(far.current.number).to.equal(20);
    fleet.network.cut('arima', 'chaguanas');
    for (const number of [23, 25, 27]) write(near, number);
    write(far, 24);
    await fleet.time.advance(IN_FORCE_MS);
    fleet.network.heal();
    const isInForce = () => far.current.number === 27;
    expect(await fleet.time.until(isInForce, SETTLE_MS + IN_FORCE_MS)).to.equal(true);
    expect([far.current.digest, far.origin]).to.deep.equal([near.current.digest, 'difference']);
  });

  // Guards against the same in a fleet whose processes start, die, pause and are cut meanwhile.
  it('are made up for by every process within seconds', async () => {
    const found: string[] = [];
    for (const seed of SEEDS) found.push(...(await play(seed)));
    expect(found).to.deep.equal([]);
  });
});

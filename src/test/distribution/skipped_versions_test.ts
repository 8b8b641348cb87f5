import { expect } from 'chai';
import { type Resource, Route, Upstream } from '../../contracts.js';
import { type Replica } from '../../distribution/replica.js';
import { PROMPT } from '../../membership/pace.js';
import { type Clock } from '../../runtime/clock.js';
import { SeededRandom } from '../../runtime/random.js';
import { NewestObject, SlowFeed } from './newest_object.js';
import { IdleFeed } from './idle_feed.js';
import { type Node, TestFleet } from './test_fleet.js';

const SIZES = { arima: 10, chaguanas: 9 };
const SEEDS = [1, 2];
const VERSIONS = 30;
/** Number of versions written after the faults. */
const VERSIONS_AFTER_FAULTS = 15;
const VERSION_EVERY_MS = 600;
/**
 * How long readers take to read a version at most; they skip versions meanwhile, each different
 * ones.
 */
const MAX_READ_MS = 1_500;
/** Time for the fleet to reconnect after the faults, in milliseconds. */
const SETTLE_MS = 3_000;
/** Time after that within which every process holds the newest version, in milliseconds. */
const APPLY_TIMEOUT_MS = 5_000;

const listings = Upstream.parse({ kind: 'upstream', name: 'listings' });

function route(name: string, timeoutMs: number): Resource {
  const pathPrefix = `/${name}`;
  return Route.parse({ kind: 'route', name, pathPrefix, upstream: 'listings', timeoutMs });
}

/**
 * Resources changed by a version: mostly one of the first routes, in every tenth version 400 new
 * routes.
 */
function changeOf(version: number, random: SeededRandom): Resource[] {
  if (version === 1) {
    return [listings, ...Array.from({ length: 300 }, (_, index) => route(`r${index}`, 1_000))];
  }
  const count = version % 10 === 0 ? 400 : 1;
  const name = (index: number) => (count > 1 ? `v${version}-${index}` : `r${random.below(300)}`);
  return Array.from({ length: count }, (_, index) => route(name(index), 1_000 + version));
}

/** Starts or ends a random fault. */
function injectFault(fleet: TestFleet, random: SeededRandom): void {
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

async function runScenario(seed: number): Promise<readonly string[]> {
  const object = new NewestObject();
  const random = new SeededRandom(seed);
  const writtenAt = new Map<number, number>();
  const faults: string[] = [];
  await using fleet = await TestFleet.start({
    sizes: SIZES,
    seed,
    pace: PROMPT,
    feed: (replica, clock, isCut) =>
      new SlowFeed(object, replica, clock, random, isCut, MAX_READ_MS),
  });
  const write = async (version: number) => {
    object.write(changeOf(version, random), 1 + random.below(3));
    writtenAt.set(object.number, fleet.clock.now());
    await fleet.time.advance(VERSION_EVERY_MS);
  };
  const checkVersions = () => {
    const due = fleet.clock.now() - APPLY_TIMEOUT_MS;
    const expected = [...writtenAt].findLast(([, at]) => at <= due)?.[0] ?? 0;
    for (const { name, control } of fleet.alive) {
      const { number } = control.replica.current;
      if (number < expected)
        faults.push(`seed ${seed}: ${name} holds ${number} and not ${expected}`);
    }
  };
  for (let version = 1; version <= VERSIONS; version++) {
    await write(version);
    if (version > 2) injectFault(fleet, random);
  }
  heal(fleet);
  await fleet.time.advance(SETTLE_MS);
  for (let version = 1; version <= VERSIONS_AFTER_FAULTS; version++) {
    await write(VERSIONS + version);
    checkVersions();
  }
  await fleet.time.advance(APPLY_TIMEOUT_MS);
  checkVersions();
  return faults;
}

describe('versions that readers skip', () => {
  // Guards against a process that stays behind forever because none of its peers knows the version
  // that it holds.
  it('do not leave a process behind that holds one of them', async () => {
    const sizes = { arima: 1, chaguanas: 1 };
    const feed = (_: Replica, clock: Clock) => new IdleFeed(clock);
    await using fleet = await TestFleet.start({ sizes, pace: PROMPT, feed });
    const [near, far] = fleet.alive.map(({ control }) => control.replica) as [Replica, Replica];
    const all = [
      listings,
      ...Array.from({ length: 1_500 }, (_, index) => route(`r${index}`, 1_000)),
    ];
    const write = (replica: Replica, number: number) =>
      replica.replace(number, [...all.slice(0, -1), route('r1499', number)], fleet.clock.now());
    write(near, 20);
    await fleet.time.advance(APPLY_TIMEOUT_MS);
    expect(far.current.number).to.equal(20);
    fleet.network.cut('arima', 'chaguanas');
    for (const number of [23, 25, 27]) write(near, number);
    write(far, 24);
    await fleet.time.advance(APPLY_TIMEOUT_MS);
    fleet.network.heal();
    const isInForce = () => far.current.number === 27;
    expect(await fleet.time.until(isInForce, SETTLE_MS + APPLY_TIMEOUT_MS)).to.equal(true);
    expect([far.current.digest, far.origin]).to.deep.equal([near.current.digest, 'difference']);
  });

  // Guards against the same while processes start, die, pause and are disconnected.
  it('do not leave any process behind for more than seconds', async () => {
    const found: string[] = [];
    for (const seed of SEEDS) found.push(...(await runScenario(seed)));
    expect(found).to.deep.equal([]);
  });
});

import { expect } from 'chai';
import { type Node, TestFleet } from './test_fleet.js';

const SIZES = { arima: 7, chaguanas: 3 };

function isReady({ control }: Node): boolean {
  return control.readiness.isReady;
}

function held({ control }: Node): number {
  return control.replica.current.number;
}

/** The process with the last rank: neither a reader nor a parent. */
function leafOf(fleet: TestFleet, dataCentre: string): Node {
  return fleet.ranked(dataCentre).at(-1)!;
}

/** A process that reads in place of a reader that is cut off from the platform. */
async function findDelegate(fleet: TestFleet): Promise<Node> {
  const isDelegated = ({ control }: Node) => control.readerRole.isDelegated;
  for (const { name } of fleet.ranked('arima').slice(0, 2)) fleet.cutOff.add(name);
  expect(await fleet.time.until(() => fleet.alive.some(isDelegated), 20_000)).to.equal(true);
  return fleet.alive.find(isDelegated)!;
}

async function restart(fleet: TestFleet, node: Node, apartMs = 10): Promise<Node> {
  fleet.kill(node.name);
  await fleet.time.advance(apartMs);
  return fleet.launch(node.name, node.host.dataCentre);
}

describe('Readiness', () => {
  it('is reached soon when the platform is available, also at version 0', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    expect(fleet.alive.every(isReady)).to.equal(true);
    await fleet.accept();
    await fleet.time.advance(1_000);
    const leaf = await restart(fleet, leafOf(fleet, 'arima'));
    expect(isReady(leaf)).to.equal(false);
    expect(await fleet.time.until(() => isReady(leaf), 2_000)).to.equal(true);
    expect(held(leaf)).to.equal(1);
  });

  // Guards against a process that cannot become ready without the log: its neighbours remember the
  // version that its instance held, which is enough for a process that is no reader.
  it('is reached through the neighbours when the platform is down', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    await fleet.accept();
    await fleet.time.advance(3_000);
    fleet.platform.faults.down = true;
    const leaf = await restart(fleet, leafOf(fleet, 'arima'));
    expect(await fleet.time.until(() => isReady(leaf), 5_000)).to.equal(true);
    expect(held(leaf)).to.equal(1);
  });

  // Guards against a restarted process that serves an older version than before: its neighbours
  // missed the last one, as its links were silent, and remember the one before.
  for (const [who, find] of [
    ['a reader', async (fleet: TestFleet) => fleet.ranked('arima')[0]!],
    ['a process that read in place of one', findDelegate],
  ] as const) {
    it(`is not reached by ${who} through its neighbours, which may have missed its last version`, async () => {
      await using fleet = await TestFleet.start({ sizes: SIZES });
      await fleet.accept();
      await fleet.time.advance(3_000);
      const reader = await find(fleet);
      const others = fleet.alive.filter((node) => node !== reader);
      others.forEach(({ host }) => fleet.network.silence(reader.host, host));
      others.forEach(({ name }) => fleet.cutOff.add(name));
      await fleet.accept();
      await fleet.time.advance(100);
      expect(held(reader)).to.equal(2);
      fleet.platform.faults.down = true;
      fleet.kill(reader.name, 'silent');
      const successor = fleet.launch(reader.name, reader.host.dataCentre);
      await fleet.time.advance(20_000);
      expect([held(successor), isReady(successor)]).to.deep.equal([1, false]);
      fleet.platform.faults.down = false;
      fleet.cutOff.clear();
      expect(await fleet.time.until(() => isReady(successor), 10_000)).to.equal(true);
      expect(held(successor)).to.equal(2);
    });
  }

  // Guards against restarted processes that confirm each other's versions when no process remembers
  // any: none may become ready before the log can be read.
  it('is reached by no process while neighbours and platform are gone', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    await fleet.accept();
    await fleet.time.advance(3_000);
    fleet.platform.faults.down = true;
    const all = [...fleet.nodes.values()];
    all.forEach(({ name }) => fleet.kill(name));
    all.forEach(({ name, host }) => fleet.launch(name, host.dataCentre));
    await fleet.time.advance(20_000);
    expect(fleet.alive.some(isReady)).to.equal(false);
    fleet.platform.faults.down = false;
    expect(await fleet.time.until(() => fleet.alive.every(isReady), 5_000)).to.equal(true);
    expect(new Set(fleet.versions)).to.deep.equal(new Set([1]));
  });

  // Guards against one call to the platform per process when all restart: their queries for the
  // head of the log have to be batched on the way to the readers.
  it('costs the platform few calls when many processes start at once', async () => {
    await using fleet = await TestFleet.start({ sizes: { arima: 16 }, fanout: 4 });
    await fleet.accept();
    await fleet.time.advance(3_000);
    const all = [...fleet.nodes.values()];
    all.forEach(({ name }) => fleet.kill(name));
    const { reads } = fleet.platform.calls;
    all.forEach(({ name, host }) => fleet.launch(name, host.dataCentre));
    expect(await fleet.time.until(() => fleet.alive.every(isReady), 10_000)).to.equal(true);
    expect(fleet.platform.calls.reads - reads).to.be.lessThan(25);
  });

  // Guards against a data centre that never becomes ready because it has lost the platform and one
  // of its neighbours: the head of the log has to come through the other one, whichever it is.
  it('is reached through another data centre when the own one has lost the platform', async () => {
    for (const lost of ['arima', 'tobago']) {
      const sizes = { arima: 3, chaguanas: 3, tobago: 3 };
      await using fleet = await TestFleet.start({ sizes });
      await fleet.accept();
      await fleet.time.advance(3_000);
      fleet.cutOff.add('chaguanas');
      fleet.network.cut('chaguanas', lost);
      const all = fleet.ranked('chaguanas');
      all.forEach(({ name }) => fleet.kill(name));
      const restarted = all.map(({ name }) => fleet.launch(name, 'chaguanas'));
      expect(await fleet.time.until(() => restarted.every(isReady), 15_000)).to.equal(true);
      expect(restarted.map(held)).to.deep.equal([1, 1, 1]);
    }
  });
});

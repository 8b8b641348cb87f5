import { expect } from 'chai';
import { type Survey } from '../../contracts.js';
import { type Node, TestFleet } from './test_fleet.js';

const SIZES = { arima: 7, chaguanas: 3 };

async function survey(fleet: TestFleet, { control }: Node): Promise<Survey> {
  let found: Survey | undefined;
  void control.surveyor.survey().then((result) => {
    found = result;
  });
  await fleet.time.until(() => found !== undefined, 12_000);
  return found!;
}

/** Processes that are counted, one way or the other. */
function counted({ holding, unknownProcesses }: Survey): number {
  return holding.reduce((sum, { processes }) => sum + processes, unknownProcesses);
}

describe('Surveyor', () => {
  it('counts every process from any process, without asking the platform', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    await fleet.accept();
    await fleet.time.advance(1_000);
    const before = { ...fleet.platform.calls };
    const leaf = fleet.ranked('chaguanas').at(-1)!;
    expect(await survey(fleet, leaf)).toMatchSnapshot();
    expect(fleet.platform.calls.reads - before.reads).to.equal(0);
  });

  // A relay hangs: its link is open, but nothing comes back. Nobody can tell what the processes
  // below it hold, so they are unknown, all of them and by name, not merely the relay.
  it('names all processes below a relay that does not answer as unknown', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    const [root, relay] = fleet.ranked('arima');
    const below = relay!.control.ranking.children.map(({ instance }) => instance);
    relay!.host.gate.shut();
    const found = await survey(fleet, root!);
    expect(below).to.have.length(2);
    expect(found.unknown.sort()).to.deep.equal([relay!.name, ...below].sort());
    expect(found.unknownProcesses).to.equal(3);
    expect(counted(found)).to.equal(10);
  });

  // A data centre is cut off. Its processes go on serving, but what they hold cannot be known
  // from outside: the survey says that it was not reached, instead of that it holds the version.
  it('tells a data centre that it cannot reach', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    fleet.network.cut('arima', 'chaguanas');
    const found = await survey(fleet, fleet.ranked('arima').at(-1)!);
    expect(found.unreached).to.deep.equal(['chaguanas']);
    expect([counted(found), found.unknownProcesses]).to.deep.equal([10, 3]);
  });

  // The root, through which every survey goes, died a moment ago. The survey waits until the
  // ranking has another root and then counts all that are left.
  it('goes through the new root when the old one has just died', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    const [root, , , leaf] = fleet.ranked('arima');
    fleet.kill(root!.name);
    const found = await survey(fleet, leaf!);
    expect(found.holding).to.deep.equal([{ version: 0, processes: 9 }]);
  });

  // Links have become slow, so the root holds a version that is still on its way to the others.
  // They answer with what they hold, and are named as behind the root, not counted as holding.
  it('names those behind the head, with the version they hold', async () => {
    await using fleet = await TestFleet.start({ sizes: { arima: 5 } });
    const [root, , ...others] = fleet.ranked('arima');
    Object.assign(fleet.network.faults, { latencyMs: 60 });
    await fleet.accept();
    await fleet.time.advance(5);
    // The questions overtake the push.
    Object.assign(fleet.network.faults, { latencyMs: 1, reorder: 1 });
    const { laggards } = await survey(fleet, root!);
    expect(laggards.map(({ instance }) => instance).sort()).to.deep.equal(
      others.map(({ name }) => name).sort(),
    );
    expect(new Set(laggards.map(({ version, reason }) => `${version} ${reason}`))).to.deep.equal(
      new Set(['0 behind 1']),
    );
  });
});

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

/** Number of processes counted as holding a version or as unknown. */
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

  // Guards against a survey that omits the processes below one that does not answer: they are
  // unknown, too, and named.
  it('reports all processes below one that does not answer as unknown', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    const [root, parent] = fleet.ranked('arima');
    const below = parent!.control.ranking.children.map(({ instance }) => instance);
    parent!.host.gate.shut();
    const found = await survey(fleet, root!);
    expect(below).to.have.length(2);
    expect(found.unknown.sort()).to.deep.equal([parent!.name, ...below].sort());
    expect(found.unknownProcesses).to.equal(3);
    expect(counted(found)).to.equal(10);
  });

  // Guards against counting the processes of an unreachable data centre as holding a version: they
  // are unknown.
  it('reports a data centre that it cannot reach', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    fleet.network.cut('arima', 'chaguanas');
    const found = await survey(fleet, fleet.ranked('arima').at(-1)!);
    expect(found.unreached).to.deep.equal(['chaguanas']);
    expect([counted(found), found.unknownProcesses]).to.deep.equal([10, 3]);
  });

  // Guards against a survey that fails because the root has just died: it has to wait for the next
  // root.
  it('goes through the new root when the old one has just died', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    const [root, , , leaf] = fleet.ranked('arima');
    fleet.kill(root!.name);
    const found = await survey(fleet, leaf!);
    expect(found.holding).to.deep.equal([{ version: 0, processes: 9 }]);
  });

  // Guards against counting processes as holding a version that the root has and that is still in
  // transit to them.
  it('names the processes behind the head, with the versions they hold', async () => {
    await using fleet = await TestFleet.start({ sizes: { arima: 5 } });
    const [root, , ...others] = fleet.ranked('arima');
    // Lets the watches end of processes that considered themselves readers at first.
    await fleet.time.advance(12_000);
    Object.assign(fleet.network.faults, { latencyMs: 500 });
    await fleet.accept();
    await fleet.time.advance(5);
    // The survey requests overtake the push.
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

import { expect } from 'chai';
import { type Behaviour, FAILING, RolloutFleet } from './rollout_fleet.js';

const DURATION_MS = 16_000;
const ROLLED_BACK = { state: 'rolled_back', targetVersion: 'v2' };
const COMPLETED = { state: 'completed', targetVersion: 'v2' };
const KEPT = { isTooMuch: false, isTooLate: false };
const ROLLED_BACK_EVERYWHERE = {
  status: ROLLED_BACK,
  phases: { 'rolled-back': 18 },
  exposure: KEPT,
};

async function outcome(fleet: RolloutFleet, version = 'v2') {
  const { phases } = fleet;
  return { status: await fleet.status(), phases, exposure: fleet.exposure(version) };
}

function readers({ fleet }: RolloutFleet): string[] {
  return fleet.alive.filter(({ control }) => control.ranking.isReader).map(({ name }) => name);
}

describe('Rollouts', function rollouts() {
  this.timeout(60_000);

  it('complete a sound version in time, after the old one has got no requests for a while', async () => {
    await using fleet = await RolloutFleet.start({ v2: () => ({ failing: 0.005, slower: 1 }) });
    await fleet.order('v2', DURATION_MS);
    let lastOld = fleet.now;
    while ((await fleet.status()) === null || fleet.phases.completed === undefined) {
      const before = fleet.count('v1');
      await fleet.serve(100);
      if (fleet.count('v1') > before) lastOld = fleet.now;
    }
    const idleMs = fleet.now - lastOld;
    expect({
      status: await fleet.status(),
      isEarly: fleet.now - fleet.sent[0]!.at < DURATION_MS * 0.62,
      isIdleBefore: idleMs >= 800,
    }).to.deep.equal({ status: COMPLETED, isEarly: true, isIdleBefore: true });
  });

  it('withdraw a failing version in all processes, and write it to the platform', async () => {
    await using fleet = await RolloutFleet.start({ v2: FAILING });
    await fleet.order('v2', DURATION_MS);
    await fleet.serve(DURATION_MS - 1_000);
    expect(await outcome(fleet)).to.deep.equal(ROLLED_BACK_EVERYWHERE);
  });

  // Guards against a version that becomes bad in the same second in which it gets a large share.
  it('withdraw a version that becomes bad just before it would be promoted', async () => {
    let badFrom = Infinity;
    const late: Behaviour = (now) => ({ failing: now >= badFrom ? 0.5 : 0, slower: 1 });
    await using fleet = await RolloutFleet.start({ v2: late });
    badFrom = fleet.now + 6_500;
    await fleet.order('v2', DURATION_MS);
    await fleet.serve(DURATION_MS - 1_000);
    expect(await outcome(fleet)).to.deep.include({ status: ROLLED_BACK, exposure: KEPT });
  });

  // Guards against evidence that is lost with the processes that judge it.
  it('withdraw a bad version although all readers die when it starts', async () => {
    await using fleet = await RolloutFleet.start({ v2: FAILING });
    await fleet.order('v2', DURATION_MS);
    for (const name of readers(fleet)) fleet.kill(name);
    await fleet.serve(DURATION_MS - 1_000);
    expect(await outcome(fleet)).to.deep.equal({
      status: ROLLED_BACK,
      phases: { 'rolled-back': 12 },
      exposure: KEPT,
    });
  });

  // Guards against a verdict that waits for the platform.
  it('withdraw a bad version while the platform is unreachable, and write it afterwards', async () => {
    await using fleet = await RolloutFleet.start({ v2: FAILING });
    await fleet.order('v2', DURATION_MS);
    const { faults } = fleet.fleet.platform;
    faults.down = true;
    await fleet.serve(DURATION_MS - 1_000);
    const { phases } = fleet;
    expect({ phases, exposure: fleet.exposure('v2') }).to.deep.equal({
      phases: { withdrawn: 18 },
      exposure: KEPT,
    });
    faults.down = false;
    await fleet.serve(3_000);
    expect(await fleet.status()).to.deep.equal(ROLLED_BACK);
  });

  // Guards against an order that nobody reads, and an outcome that nobody writes, while the platform turns
  // away just the processes that rank as readers.
  it('are read and ended by delegates while the platform turns the readers away', async () => {
    await using fleet = await RolloutFleet.start({ v2: FAILING });
    for (const name of readers(fleet)) fleet.fleet.cutOff.add(name);
    await fleet.serve(6_000);
    await fleet.order('v2', DURATION_MS);
    await fleet.serve(DURATION_MS - 1_000);
    expect(await outcome(fleet)).to.deep.equal(ROLLED_BACK_EVERYWHERE);
  });

  // Guards against an outcome that is written again and again because the answers to its writes are lost.
  it('write an outcome without endless retries when answers of the platform are lost', async () => {
    await using fleet = await RolloutFleet.start({ v2: FAILING });
    const { faults, calls } = fleet.fleet.platform;
    faults.loseAnswers = 3;
    const before = calls.writes;
    await fleet.order('v2', DURATION_MS).catch(() => fleet.startEndpoints('v2'));
    await fleet.serve(DURATION_MS - 1_000);
    const { phases } = fleet;
    expect({ status: await fleet.status(), phases }).to.deep.equal({
      status: ROLLED_BACK,
      phases: { 'rolled-back': 18 },
    });
    expect(calls.writes - before).to.be.at.most(6);
  });

  // Guards against a partitioned data centre that continues with a version the others found to be bad.
  it('withdraw a bad version also in a partitioned data centre', async () => {
    await using fleet = await RolloutFleet.start({ v2: FAILING });
    await fleet.order('v2', DURATION_MS);
    const { network, cutOff } = fleet.fleet;
    network.cut('tobago', 'arima');
    network.cut('tobago', 'couva');
    cutOff.add('tobago');
    await fleet.serve(DURATION_MS - 4_000);
    expect(fleet.exposure('v2')).to.deep.equal(KEPT);
    network.heal();
    cutOff.clear();
    await fleet.serve(6_000);
    expect(fleet.phases).to.deep.equal({ 'rolled-back': 18 });
  });

  // Guards against a restarted process that sends requests to a withdrawn version again.
  it('send the verdict to processes that start, even without the platform', async () => {
    await using fleet = await RolloutFleet.start({ v2: FAILING });
    await fleet.order('v2', DURATION_MS);
    const names = fleet.fleet.alive.map(({ name }) => name).slice(0, 6);
    for (const name of names) fleet.kill(name);
    await fleet.serve(7_000);
    fleet.fleet.platform.faults.down = true;
    for (const name of names) fleet.revive(name);
    await fleet.serve(1_000);
    const since = fleet.now;
    await fleet.serve(4_000);
    expect([fleet.count('v2', since), fleet.phases]).to.deep.equal([0, { 'rolled-back': 18 }]);
  });

  it('start over when the operator orders another version', async () => {
    const sound: Behaviour = () => ({ failing: 0, slower: 1 });
    await using fleet = await RolloutFleet.start({ v2: FAILING, v3: sound });
    await fleet.order('v2', DURATION_MS);
    await fleet.serve(8_000);
    await fleet.order('v3', DURATION_MS);
    await fleet.serve(DURATION_MS - 1_000);
    expect(await fleet.status()).to.deep.equal({ state: 'completed', targetVersion: 'v3' });
  });

  // Guards against endpoints getting their full share before their order has been read.
  it('send nothing to a version until it is known that nobody ordered it, then its full share', async () => {
    const sound: Behaviour = () => ({ failing: 0, slower: 1 });
    await using fleet = await RolloutFleet.start({ v2: sound });
    const { faults } = fleet.fleet.platform;
    faults.down = true;
    fleet.startEndpoints('v2');
    await fleet.serve(4_000);
    const unknown = fleet.count('v2');
    faults.down = false;
    await fleet.serve(3_000);
    const since = fleet.now;
    await fleet.serve(2_000);
    const share = fleet.count('v2', since) / (fleet.count('v1', since) + fleet.count('v2', since));
    expect({ unknown, isUsed: share > 0.2 }).to.deep.equal({ unknown: 0, isUsed: true });
  });
});

import { expect } from 'chai';
import { AHEAD } from '../../distribution/methods.js';
import { BytesProfile } from '../../distribution/profile.js';
import { type Change, type Version } from '../../contracts.js';
import { type Node, TestFleet } from './test_fleet.js';

const SIZES = { arima: 6, chaguanas: 4 };
/** Time within which every process holds a version when there are no faults, in milliseconds. */
const PROPAGATION_MS = 50;
/** Time within which processes recover from a fault during distribution, in milliseconds. */
const RECOVERY_MS = 3_000;

async function converge(fleet: TestFleet, version: number, ms = RECOVERY_MS): Promise<void> {
  expect(await fleet.time.until(() => fleet.holds(version), ms)).to.equal(true);
  const digests = new Set(fleet.alive.map(({ control }) => control.replica.current.digest));
  expect([...digests]).to.deep.equal([fleet.accepted[version]!.digest]);
}

describe('Distributor', () => {
  it('delivers a version to every process promptly', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    await converge(fleet, await fleet.accept(), PROPAGATION_MS);
  });

  // Guards against a version being lost when the root dies after reading it, before or while it
  // pushes. The second reader and the ring neighbours have to deliver it.
  it('delivers a version when the root dies during the push', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    const [root] = fleet.ranked('arima');
    root!.control.replica.onApplied(() => fleet.kill(root!.name, 'silent'));
    await converge(fleet, await fleet.accept());
    expect(root!.isAlive).to.equal(false);
  });

  // Guards against a subtree that misses a version because its parent died before it pushed. The
  // children have to learn of the version from their ring neighbours, and pull it.
  it('delivers a version to the children of a process that dies during the push', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    const inner = fleet.ranked('arima')[1]!;
    expect(inner.control.ranking.children.length).to.be.greaterThan(0);
    inner.control.replica.onApplied(() => fleet.kill(inner.name, 'silent'));
    await converge(fleet, await fleet.accept());
  });

  // Guards against a data centre that stalls while both its readers are paused, instead of getting
  // the version from the other one, and against readers that go back when resumed.
  it('delivers a version while the readers of a data centre are paused', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    const readers = fleet.ranked('arima').slice(0, 2);
    readers.forEach(({ host }) => host.gate.shut());
    const version = await fleet.accept();
    const others = fleet.alive.filter((node) => !readers.includes(node));
    const hold = () => others.every(({ control }) => control.replica.current.number === version);
    expect(await fleet.time.until(hold, 8_000)).to.equal(true);
    expect(readers.map(({ control }) => control.replica.current.number)).to.deep.equal([0, 0]);
    readers.forEach(({ host }) => host.gate.open());
    await converge(fleet, version);
  });

  // Guards against versions that are lost, applied twice or applied out of order when messages are
  // lost, duplicated, delayed and reordered.
  it('recovers from lost, duplicated, delayed and reordered messages', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    const applied = new Map(fleet.alive.map(({ name }) => [name, [] as number[]]));
    for (const { name, control } of fleet.alive) {
      control.replica.onApplied(() => applied.get(name)!.push(control.replica.current.number));
    }
    Object.assign(fleet.network.faults, { lose: 0.3, duplicate: 0.3, reorder: 0.3, delayMs: 40 });
    for (let turn = 0; turn < 5; turn++) {
      await fleet.accept();
      await fleet.time.advance(30);
    }
    await fleet.time.advance(1_000);
    Object.assign(fleet.network.faults, { lose: 0, duplicate: 0, reorder: 0, delayMs: 0 });
    await converge(fleet, 5, 6_000);
    for (const numbers of applied.values()) {
      expect(numbers).to.deep.equal([...new Set(numbers)].sort((a, b) => a - b));
    }
  });

  // Guards against a pull that hangs until its 2 s deadline because the peer that announced the
  // version is paused. Another peer that gets ahead has to be asked in the meantime.
  it('pulls from another peer when one does not answer', async () => {
    await using fleet = await TestFleet.start({
      sizes: { arima: 5 },
      profile: new BytesProfile(),
    });
    const [paused, parent, , last] = fleet.ranked('arima');
    const pausedPeer = last!.control.mesh.peer(paused!.name)!;
    paused!.host.gate.shut();
    last!.control.distributor.handleHeartbeat(pausedPeer, { version: 1, digest: '', roster: '' });
    await fleet.time.advance(250);
    parent!.control.replica.apply([fleet.next()]);
    const hasIt = () => held(last!) === 1;
    expect(await fleet.time.until(hasIt, 1_000)).to.equal(true);
  });

  // Guards against a data centre without the platform that misses versions although it reaches the
  // readers of the other one, or that loses its current version when it reaches neither.
  it('delivers versions to a data centre without the platform as long as it reaches another one', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    fleet.cutOff.add('chaguanas');
    await converge(fleet, await fleet.accept(), 500);
    fleet.network.cut('arima', 'chaguanas');
    await fleet.accept();
    await fleet.time.advance(10_000);
    const versions = (name: string) => fleet.ranked(name).map(held);
    expect(versions('arima')).to.deep.equal([2, 2, 2, 2, 2, 2]);
    expect(versions('chaguanas')).to.deep.equal([1, 1, 1, 1]);
    fleet.network.heal();
    await converge(fleet, 2, 8_000);
  });

  // Guards against waiting for the watches on silent connections to time out: the version has to
  // come from the only data centre whose watches still work.
  it('does not wait for hanging watches', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    await converge(fleet, await fleet.accept());
    fleet.cutOff.add('chaguanas');
    await converge(fleet, await fleet.accept(), 500);
  });

  // Guards against readers that need help after the platform was slow or down: a version may be
  // late by one call of 400 ms, and after an outage by one jittered wait.
  it('follows a platform that is slow, and one that is down for a while', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    fleet.platform.faults.slowMs = 400;
    const accepting = fleet.accept();
    await fleet.time.advance(400);
    await converge(fleet, await accepting, 450);
    fleet.platform.faults.slowMs = 0;
    fleet.platform.faults.down = true;
    fleet.platform.wakeWatches();
    await fleet.time.advance(5_000);
    fleet.platform.faults.down = false;
    await converge(fleet, await fleet.accept(), RECOVERY_MS);
  });

  // Guards against a forged version, or one built on it, being partly applied, and against
  // processes that read or pull it in a loop. The survey has to report the reason.
  it('refuses a forged version in every process, reports the reason and does not retry in a loop', async () => {
    await using fleet = await TestFleet.start({ sizes: SIZES });
    await converge(fleet, await fleet.accept());
    const good = fleet.next();
    await fleet.write({ ...good, change: dangling(good) });
    fleet.platform.calls.reads = 0;
    fleet.platform.calls.watches = 0;
    await fleet.time.advance(30_000);
    expect(fleet.versions).to.deep.equal(Array(10).fill(1));
    const { control } = fleet.ranked('arima')[0]!;
    expect(control.replica.refusal?.reason).to.equal('digest');
    const { laggards } = await surveyed(fleet, control);
    expect(laggards.map(({ version, reason }) => `${version} ${reason}`)).toMatchSnapshot();
    expect(fleet.platform.calls.watches).to.be.lessThan(60);
  });

  // Guards against a pull loop on a peer that announces a version that it never serves. The wait
  // has to grow with each attempt.
  it('backs off from a peer that does not serve the version it announced', async () => {
    await using fleet = await TestFleet.start({ sizes: { arima: 3 } });
    const [one, other] = fleet.ranked('arima');
    const peer = one!.control.mesh.peer(other!.name)!;
    const mine = other!.control.mesh.peer(one!.name)!;
    const received = mine.link.bytesReceived;
    mine.notify(AHEAD, { version: 9, isReady: true });
    await fleet.time.advance(10_000);
    expect(peer.version).to.equal(9);
    expect(mine.link.bytesReceived - received).to.be.lessThan(2_500);
  });

  // Guards against a configuration larger than a frame that cannot be sent to a new process, or is
  // applied in part. A version larger than a page is sent in the same way.
  it('transfers configurations and versions that are larger than a page', async () => {
    await using fleet = await TestFleet.start({ sizes: { arima: 4 } });
    await converge(fleet, await fleet.accept(large()), RECOVERY_MS);
    const newcomer = fleet.launch('arima-9', 'arima');
    await fleet.time.until(() => newcomer.control.replica.current.number === 1, 5_000);
    await converge(fleet, 1);
  });
});

function held({ control }: Node): number {
  return control.replica.current.number;
}

function dangling({ change }: Version): Change {
  return { put: change.put.filter(({ kind }) => kind === 'route'), remove: [] };
}

function large(): Change {
  const about = 'x'.repeat(2_000);
  const put = Array.from({ length: 300 }, (_, index) => ({
    kind: 'upstream' as const,
    name: `u-${index}`,
    about,
  }));
  return { put, remove: [] };
}

async function surveyed(fleet: TestFleet, control: Node['control']) {
  const survey = control.surveyor.survey();
  await fleet.time.advance(2_000);
  return survey;
}

import { expect } from 'chai';
import { TestFleet } from '../distribution/test_fleet.js';
import { Fleet, type Node } from './fleet.js';

const JOIN_MS = 20_000;
const QUIET_MS = 3_000;

/** A fleet whose processes know each other and have exactly the links they need. */
async function settledFleet(size: number): Promise<Fleet> {
  const fleet = new Fleet();
  fleet.startMany(size, ['arima'], []);
  fleet.shareRosters();
  await fleet.time.advance(QUIET_MS);
  expect(fleet.agrees(size)).to.equal(true);
  return fleet;
}

function suspicions(nodes: readonly Node[]): number {
  return nodes.reduce((sum, { gossip }) => sum + gossip.suspicions.raised, 0);
}

function allHold(nodes: readonly Node[], instance: string, liveness: string): boolean {
  return nodes.every(({ roster }) => roster.get(instance)?.liveness === liveness);
}

describe('GossipTask', () => {
  // Guards against a change that is sent more than once each way over a link. One endpoint starts
  // to drain; docs/design/membership.md uses these figures.
  for (const size of [20, 50, 100]) {
    it(`sends a change at most once each way over each link in a fleet of ${size}`, async () => {
      await using fleet = await settledFleet(size);
      const before = fleet.codec.traffic('gossip');
      const [changed] = fleet.nodes;
      changed!.roster.setEndpoint({ upstream: 'listings', state: 'draining', slots: 20 });
      const isKnown = () =>
        fleet.nodes.every(
          ({ roster }) => roster.get(changed!.instance)?.endpoint?.state === 'draining',
        );
      const tookMs = await fleet.until(isKnown, JOIN_MS, 5);
      await fleet.time.advance(1_000);
      const after = fleet.codec.traffic('gossip');
      const links = fleet.nodes.map(({ mesh }) => mesh.linksOpen);
      const ends = links.reduce((sum, count) => sum + count, 0);
      const messages = after.messages - before.messages;
      expect(messages).to.be.at.most(ends);
      expect(tookMs).to.be.below(1_000);
      expect({
        tookMs,
        messagesPerProcess: messages / size,
        bytesPerProcess: Math.round((after.bytes - before.bytes) / size),
        linksPerProcess: ends / size,
        mostLinks: Math.max(...links),
      }).toMatchSnapshot();
    });
  }

  // Guards against messages that grow with the square of the fleet because records are batched too
  // briefly at the start.
  it('makes the rosters of sixty processes that start together equal with few messages', async () => {
    await using fleet = new Fleet();
    fleet.startMany(60, ['arima', 'couva', 'siparia']);
    await fleet.until(() => fleet.agrees(60), JOIN_MS);
    fleet.nodes.forEach(({ roster }) =>
      roster.setEndpoint({ upstream: 'listings', state: 'ready', slots: 13 }),
    );
    const isKnown = () => fleet.nodes.every(({ roster }) => roster.readyEndpointCount === 60);
    const tookMs = await fleet.until(isKnown, JOIN_MS, 10);
    const messagesPerProcess = fleet.codec.traffic('gossip').messages / 60;
    expect(tookMs).to.be.below(1_000);
    expect(messagesPerProcess).to.be.below(60);
    expect({ tookMs, messagesPerProcess: Math.round(messagesPerProcess) }).toMatchSnapshot();
  });

  // Guards against work for a killed process: its links close, the dials of its neighbours are
  // refused, and the suspicion expires after three seconds.
  it('declares a killed process dead within four seconds', async () => {
    await using fleet = await settledFleet(20);
    const [victim, ...rest] = fleet.nodes;
    await victim!.kill();
    const tookMs = await fleet.until(() => allHold(rest, victim!.instance, 'dead'), JOIN_MS);
    expect(tookMs).to.be.below(4_000);
    expect(rest.every(({ mesh }) => !mesh.peer(victim!.instance))).to.equal(true);
  });

  // Guards against work for a machine that vanishes without closing its links: neighbours have to
  // close the silent links, and their dials get no answer.
  it('declares a vanished process dead within ten seconds, and alive when it returns', async () => {
    await using fleet = await settledFleet(20);
    const [victim, ...rest] = fleet.nodes;
    fleet.cut((one) => one === 0);
    const tookMs = await fleet.until(() => allHold(rest, victim!.instance, 'dead'), JOIN_MS);
    expect(tookMs).to.be.below(10_000);
    await fleet.time.advance(30_000);
    expect(rest.every(({ roster }) => roster.counts.alive === 19)).to.equal(true);
    // It was partitioned long enough to believe all others dead, which must not spread.
    expect(victim!.roster.counts.alive).to.equal(1);
    fleet.network.heal();
    let fewest = Infinity;
    const isWhole = () => {
      fewest = Math.min(fewest, ...rest.map(({ roster }) => roster.live().length));
      return fleet.agrees(20);
    };
    expect(await fleet.until(isWhole, 60_000)).to.be.below(30_000);
    expect(fewest).to.equal(19);
  });

  // Guards against suspicions, and so less work for healthy endpoints, when a link goes silent
  // between two live processes that can open a new one.
  it('replaces a silent link without raising a suspicion', async () => {
    await using fleet = await settledFleet(20);
    const [one] = fleet.nodes;
    const neighbour = fleet.nodes.find(({ instance }) => one!.mesh.peer(instance))!;
    const link = one!.mesh.peer(neighbour.instance)!;
    fleet.network.silence(one!.host, neighbour.host);
    const isReplaced = () => {
      const peer = one!.mesh.peer(neighbour.instance);
      return peer !== undefined && peer !== link;
    };
    expect(await fleet.until(isReplaced, JOIN_MS)).to.be.below(6_000);
    expect(suspicions(fleet.nodes)).to.equal(0);
  });

  // Guards against refused requests: all others must know of a planned stop before the ports close.
  it('announces a planned stop to all before the links close', async () => {
    await using fleet = await settledFleet(50);
    const [leaving, ...rest] = fleet.nodes;
    const stopping = leaving!.stop();
    const tookMs = await fleet.until(() => allHold(rest, leaving!.instance, 'left'), JOIN_MS, 10);
    await stopping;
    expect(tookMs).to.be.below(500);
    await fleet.time.advance(5_000);
    expect(suspicions(rest)).to.equal(0);
    expect(allHold(rest, leaving!.instance, 'left')).to.equal(true);
  });

  // Guards against slow detection when 18 of 20 die at once, most with all of their monitors.
  it('detects a mass failure in which monitors die together with their members', async () => {
    await using fleet = await settledFleet(20);
    const [one, other, ...killed] = fleet.nodes;
    await Promise.all(killed.map((node) => node.kill()));
    const tookMs = await fleet.until(() => fleet.agrees(2, [one!, other!]), 60_000);
    expect(tookMs).to.be.below(6_000);
  });

  // Guards against flooding the fleet when two processes are configured with the same name and
  // refute each other endlessly.
  it('bounds the messages caused by two processes with the same name', async () => {
    await using fleet = await settledFleet(10);
    const { self } = fleet.nodes[0]!;
    const duplicate = fleet.add({ ...self, linkPort: 11, incarnation: self.incarnation + 1 }, [1]);
    await fleet.time.advance(20_000);
    const { messages: before } = fleet.codec.traffic('gossip');
    const { refutations } = duplicate.roster;
    await fleet.time.advance(30_000);
    expect(duplicate.roster.refutations).to.be.above(refutations);
    const perSecond = (fleet.codec.traffic('gossip').messages - before) / 30;
    expect(perSecond / fleet.nodes.length).to.be.below(3);
  });

  // Guards against a process that, after a pause in which it was declared dead, declares the others
  // dead or stays dead itself.
  it('brings a paused process back without suspecting the others', async () => {
    await using fleet = await TestFleet.start({ sizes: { arima: 6 } });
    const [paused, ...rest] = fleet.alive;
    paused!.host.gate.shut();
    await fleet.time.advance(30_000);
    const liveness = () => rest.map(({ control }) => control.roster.get(paused!.name)!.liveness);
    expect(new Set(liveness())).to.eql(new Set(['dead']));
    paused!.host.gate.open();
    const isBack = () => fleet.alive.every(({ control }) => control.roster.counts.alive === 6);
    expect(await fleet.time.until(isBack, 30_000)).to.equal(true);
    const incarnations = rest.map(({ control }) => control.roster.self.incarnation);
    expect(new Set(incarnations).size).to.equal(1);
    expect(paused!.control.roster.refutations).to.be.above(0);
  });
});

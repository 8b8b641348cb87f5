import { expect } from 'chai';
import { TestFleet } from '../distribution/test_fleet.js';
import { Fleet, type Node } from './fleet.js';

const JOIN_MS = 20_000;
const QUIET_MS = 3_000;

/** A fleet whose processes know each other and hold just the links that they need. */
async function settled(size: number): Promise<Fleet> {
  const fleet = new Fleet();
  fleet.startMany(size, ['arima'], []);
  fleet.acquaint();
  await fleet.time.advance(QUIET_MS);
  expect(fleet.agrees(size)).to.equal(true);
  return fleet;
}

function suspicions(nodes: readonly Node[]): number {
  return nodes.reduce((sum, { gossip }) => sum + gossip.suspicions.raised, 0);
}

function holds(nodes: readonly Node[], instance: string, liveness: string): boolean {
  return nodes.every(({ roster }) => roster.get(instance)?.liveness === liveness);
}

describe('GossipTask', () => {
  // The figures of docs/design/membership.md: one endpoint starts to drain.
  for (const size of [20, 50, 100]) {
    it(`sends a change once each way over each link at most, among ${size}`, async () => {
      await using fleet = await settled(size);
      const before = fleet.codec.traffic('gossip');
      const [changed] = fleet.nodes;
      changed!.roster.announce({ upstream: 'listings', state: 'draining', slots: 20 });
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

  // Guards against a start whose cost grows with the square of the fleet: news gathered too briefly.
  it('brings sixty that start together to one roster with few messages', async () => {
    await using fleet = new Fleet();
    fleet.startMany(60, ['arima', 'couva', 'siparia']);
    await fleet.until(() => fleet.agrees(60), JOIN_MS);
    fleet.nodes.forEach(({ roster }) =>
      roster.announce({ upstream: 'listings', state: 'ready', slots: 13 }),
    );
    const isKnown = () => fleet.nodes.every(({ roster }) => roster.endpoints === 60);
    const tookMs = await fleet.until(isKnown, JOIN_MS, 10);
    const messagesPerProcess = fleet.codec.traffic('gossip').messages / 60;
    expect(tookMs).to.be.below(1_000);
    expect(messagesPerProcess).to.be.below(60);
    expect({ tookMs, messagesPerProcess: Math.round(messagesPerProcess) }).toMatchSnapshot();
  });

  // A process is killed. Its links close, the dials of its neighbours are refused, and three
  // seconds later all others stop sending it work.
  it('takes a killed process for dead within four seconds', async () => {
    await using fleet = await settled(20);
    const [victim, ...rest] = fleet.nodes;
    await victim!.kill();
    const tookMs = await fleet.until(() => holds(rest, victim!.instance, 'dead'), JOIN_MS);
    expect(tookMs).to.be.below(4_000);
    expect(rest.every(({ mesh }) => !mesh.peer(victim!.instance))).to.equal(true);
  });

  // A machine vanishes without closing anything: only silence tells. Its neighbours close the
  // silent links, get no answer to a dial, suspect it and take it for dead.
  it('takes a vanished process for dead within ten seconds, and hears from it again', async () => {
    await using fleet = await settled(20);
    const [victim, ...rest] = fleet.nodes;
    fleet.cut((one) => one === 0);
    const tookMs = await fleet.until(() => holds(rest, victim!.instance, 'dead'), JOIN_MS);
    expect(tookMs).to.be.below(10_000);
    await fleet.time.advance(30_000);
    expect(rest.every(({ roster }) => roster.counts.alive === 19)).to.equal(true);
    // It was cut off long enough to believe all others dead. Nobody may take that over.
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

  // Something between two processes loses track of their link. Both ends are well, and a new link
  // works: nobody may be suspected, or its endpoint would lose work for nothing.
  it('replaces a silent link without suspecting anybody', async () => {
    await using fleet = await settled(20);
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

  // A planned stop: all others must know before its ports close, or requests would be refused.
  it('lets everybody know of a planned stop before the links close', async () => {
    await using fleet = await settled(50);
    const [leaving, ...rest] = fleet.nodes;
    const stopping = leaving!.stop();
    const tookMs = await fleet.until(() => holds(rest, leaving!.instance, 'left'), JOIN_MS, 10);
    await stopping;
    expect(tookMs).to.be.below(500);
    await fleet.time.advance(5_000);
    expect(suspicions(rest)).to.equal(0);
    expect(holds(rest, leaving!.instance, 'left')).to.equal(true);
  });

  // 18 of 20 die at once, and with most of them all their monitors.
  it('finds a herd of dead ones though their monitors died with them', async () => {
    await using fleet = await settled(20);
    const [one, other, ...herd] = fleet.nodes;
    await Promise.all(herd.map((node) => node.kill()));
    const tookMs = await fleet.until(() => fleet.agrees(2, [one!, other!]), 60_000);
    expect(tookMs).to.be.below(6_000);
  });

  // Two processes were given the same name by mistake. Each refutes the other without end; the rest
  // of the fleet must not be flooded at the pace at which news travels.
  it('bounds what two processes of one name cost the others', async () => {
    await using fleet = await settled(10);
    const { self } = fleet.nodes[0]!;
    const double = fleet.add({ ...self, linkPort: 11, incarnation: self.incarnation + 1 }, [1]);
    await fleet.time.advance(20_000);
    const { messages: before } = fleet.codec.traffic('gossip');
    const { refutations } = double.roster;
    await fleet.time.advance(30_000);
    expect(double.roster.refutations).to.be.above(refutations);
    const perSecond = (fleet.codec.traffic('gossip').messages - before) / 30;
    expect(perSecond / fleet.nodes.length).to.be.below(3);
  });

  // A process is paused for half a minute and wakes. The others took it for dead; it may neither
  // declare them dead nor stay dead itself.
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
    const suspects = rest.map(({ control }) => control.roster.self.incarnation);
    expect(new Set(suspects).size).to.equal(1);
    expect(paused!.control.roster.refutations).to.be.above(0);
  });
});

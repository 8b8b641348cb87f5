import { expect } from 'chai';
import { Gate } from '../../standins/gate.js';
import { type Host } from '../../standins/memory_network.js';
import { Fleet } from '../membership/fleet.js';

const RETIRED_MS = 15_000;

/** Somebody who opens connections and speaks no protocol. */
function stranger(): Host {
  return { host: '10.0.0.9', port: 9, dataCentre: 'x', gate: new Gate(), accept: () => {} };
}

describe('Mesh', () => {
  it('closes links that serve neither end, and keeps the parent, children and ring', async () => {
    await using fleet = new Fleet();
    fleet.startMany(30);
    await fleet.until(() => fleet.agrees(30), RETIRED_MS);
    const busiest = () => Math.max(...fleet.nodes.map(({ mesh }) => mesh.linksOpen));
    expect(busiest()).to.equal(29);
    await fleet.time.advance(RETIRED_MS);
    // The parent, eight children, two members after it on the ring and two before.
    expect(busiest()).to.be.at.most(13);
    const kept = fleet.nodes.every(({ mesh, ranking }) =>
      ranking.neighbours.every(({ instance }) => mesh.peer(instance)),
    );
    expect(kept).to.equal(true);
  });

  // Two processes dial each other at the same moment. One of the two links is closed, which must
  // not look like a death, and both ends must use the same one, or either would look silent.
  it('settles on one link when both ends dial, without suspicion', async () => {
    await using fleet = new Fleet();
    const one = fleet.start(0, 'arima', [1]);
    const other = fleet.start(1, 'arima', [0]);
    await fleet.time.advance(RETIRED_MS);
    expect([one.mesh.linksOpen, other.mesh.linksOpen]).to.eql([1, 1]);
    expect([one.roster.counts, other.roster.counts]).toMatchSnapshot();
    expect(one.gossip.suspicions.raised + other.gossip.suspicions.raised).to.equal(0);
  });

  // A herd dials one relay. It accepts some and turns the others away at once; these come back
  // with jitter, and nobody takes the relay for dead.
  it('turns a herd away past its rate, unsuspected, and takes all in the end', async () => {
    await using fleet = new Fleet();
    const relay = fleet.start(0);
    const dialer = fleet.network.attach(stranger());
    const dials = Array.from({ length: 300 }, () => dialer.dial(relay.host.host, 0));
    await fleet.time.advance(10);
    const herd = await Promise.all(dials);
    expect(herd.filter(({ closed }) => !closed.aborted).length).to.equal(relay.mesh.linksOpen);
    expect([relay.mesh.linksOpen, relay.mesh.turnedAway]).toMatchSnapshot();
    const late = fleet.start(1, 'arima', [0]);
    late.roster.merge([relay.roster.self]);
    await fleet.time.advance(15);
    expect(late.mesh.peers.length).to.equal(0);
    expect(await fleet.until(() => fleet.agrees(2), 5_000)).to.be.below(5_000);
    expect(late.gossip.suspicions.raised).to.equal(0);
  });

  // Somebody opens connections and says nothing. No heartbeat would ever judge them.
  it('closes a link on which nobody introduces himself', async () => {
    await using fleet = new Fleet();
    const { mesh, host } = fleet.start(0);
    const dialling = fleet.network.attach(stranger()).dial(host.host, 0);
    await fleet.time.advance(1_000);
    const link = await dialling;
    expect(mesh.linksOpen).to.equal(1);
    await fleet.time.advance(1_500);
    expect(mesh.linksOpen).to.equal(0);
    expect(link.closed.aborted).to.equal(true);
  });

  it('keeps no link to itself', async () => {
    await using fleet = new Fleet();
    const { mesh } = fleet.start(0, 'arima', [0]);
    await fleet.time.advance(1_000);
    expect(mesh.linksOpen).to.equal(0);
  });

  // An instance is replaced by another one at the same address, while the old name is still
  // believed alive. A dial succeeds, but not with the one that was meant.
  it('suspects a member whose address another one has taken', async () => {
    await using fleet = new Fleet();
    const first = fleet.start(0);
    const old = fleet.start(1, 'arima', [0]);
    await fleet.until(() => fleet.agrees(2), RETIRED_MS);
    await old.kill();
    const heir = fleet.start(2, 'arima', [0]);
    fleet.network.attach({ ...heir.host, port: 1 });
    await fleet.time.advance(6_000);
    expect(first.roster.get(old.instance)!.liveness).to.equal('dead');
    expect(first.roster.get(heir.instance)!.liveness).to.equal('alive');
  });
});

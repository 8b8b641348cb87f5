import { expect } from 'chai';
import { Gate } from '../../standins/gate.js';
import { type Host } from '../../standins/memory_network.js';
import { Fleet } from '../membership/fleet.js';

const RETIRE_TIMEOUT_MS = 15_000;

/** A host that opens connections and sends nothing. */
function silentHost(): Host {
  return { host: '10.0.0.9', port: 9, dataCentre: 'x', gate: new Gate(), accept: () => {} };
}

describe('Mesh', () => {
  it('closes links that neither end needs, and keeps those to the parent, children and ring neighbours', async () => {
    await using fleet = new Fleet();
    fleet.startMany(30);
    await fleet.until(() => fleet.agrees(30), RETIRE_TIMEOUT_MS);
    const busiest = () => Math.max(...fleet.nodes.map(({ mesh }) => mesh.linksOpen));
    expect(busiest()).to.equal(29);
    await fleet.time.advance(RETIRE_TIMEOUT_MS);
    // The parent, eight children, two members after it on the ring and two before.
    expect(busiest()).to.be.at.most(13);
    const kept = fleet.nodes.every(({ mesh, ranking }) =>
      ranking.neighbours.every(({ instance }) => mesh.peer(instance)),
    );
    expect(kept).to.equal(true);
  });

  // Guards against two ends that each use another one of two links, or that take the closing of the
  // duplicate link for a death: both would look silent.
  it('keeps one link when both ends dial, and raises no suspicion', async () => {
    await using fleet = new Fleet();
    const one = fleet.start(0, 'arima', [1]);
    const other = fleet.start(1, 'arima', [0]);
    await fleet.time.advance(RETIRE_TIMEOUT_MS);
    expect([one.mesh.linksOpen, other.mesh.linksOpen]).to.eql([1, 1]);
    expect([one.roster.counts, other.roster.counts]).toMatchSnapshot();
    expect(one.gossip.suspicions.raised + other.gossip.suspicions.raised).to.equal(0);
  });

  // Guards against a process that is considered dead because it rejects some of the many links that
  // are opened to it at once. The rejected processes have to retry with jitter.
  it('rejects links above its rate limit without being suspected, and accepts retries', async () => {
    await using fleet = new Fleet();
    const target = fleet.start(0);
    const dialer = fleet.network.attach(silentHost());
    const dials = Array.from({ length: 300 }, () => dialer.dial(target.host.host, 0));
    await fleet.time.advance(10);
    const links = await Promise.all(dials);
    expect(links.filter(({ closed }) => !closed.aborted).length).to.equal(target.mesh.linksOpen);
    expect([target.mesh.linksOpen, target.mesh.linksRejected]).toMatchSnapshot();
    const late = fleet.start(1, 'arima', [0]);
    late.roster.merge([target.roster.self]);
    await fleet.time.advance(15);
    expect(late.mesh.peers.length).to.equal(0);
    expect(await fleet.until(() => fleet.agrees(2), 5_000)).to.be.below(5_000);
    expect(late.gossip.suspicions.raised).to.equal(0);
  });

  // Guards against links that stay open forever: heartbeats are not checked before the hello.
  it('closes a link whose remote end sends no hello', async () => {
    await using fleet = new Fleet();
    const { mesh, host } = fleet.start(0);
    const dialling = fleet.network.attach(silentHost()).dial(host.host, 0);
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

  // Guards against a replaced instance that stays alive in the roster: a dial to its address
  // succeeds, but reaches another instance.
  it('suspects a member whose address was taken by another instance', async () => {
    await using fleet = new Fleet();
    const first = fleet.start(0);
    const old = fleet.start(1, 'arima', [0]);
    await fleet.until(() => fleet.agrees(2), RETIRE_TIMEOUT_MS);
    await old.kill();
    const successor = fleet.start(2, 'arima', [0]);
    fleet.network.attach({ ...successor.host, port: 1 });
    await fleet.time.advance(6_000);
    expect(first.roster.get(old.instance)!.liveness).to.equal('dead');
    expect(first.roster.get(successor.instance)!.liveness).to.equal('alive');
  });
});

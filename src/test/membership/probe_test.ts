import { expect } from 'chai';
import { Fleet, type Node } from './fleet.js';

const SIZE = 12;
const PER_DATA_CENTRE = 6;

describe('Probe', () => {
  // Guards against two data centres that stay separate after a partition of two minutes, because
  // each believes the other dead and no longer dials it.
  it('reconnects data centres after a partition', async () => {
    await using fleet = new Fleet();
    fleet.startMany(SIZE, ['arima', 'couva'], []);
    fleet.shareRosters();
    await fleet.time.advance(3_000);
    fleet.cut((one, other) => one % 2 !== other % 2);
    const isApart = () =>
      fleet.nodes.every(({ roster }) => roster.counts.alive === PER_DATA_CENTRE);
    const apartMs = await fleet.until(isApart, 60_000);
    await fleet.time.advance(120_000);
    expect(isApart()).to.equal(true);
    fleet.network.heal();
    const togetherMs = await fleet.until(() => fleet.agrees(SIZE), 60_000);
    expect(togetherMs).to.be.below(8_000);
    expect({ apartMs, togetherMs }).toMatchSnapshot();
  });

  // Guards against a dial rate that grows with the number of members that stay dead.
  it('probes at a bounded rate', async () => {
    await using fleet = new Fleet();
    fleet.startMany(20);
    await fleet.until(() => fleet.agrees(20), 20_000);
    const [one, other, ...killed] = fleet.nodes;
    await Promise.all(killed.map((node) => node.kill()));
    await fleet.until(() => fleet.agrees(2, [one!, other!]), 20_000);
    await fleet.time.advance(20_000);
    let dials = 0;
    const count = ({ mesh }: Node) => {
      const { tryDial } = mesh;
      mesh.tryDial = (address) => {
        dials += 1;
        return tryDial.call(mesh, address);
      };
    };
    count(one!);
    count(other!);
    await fleet.time.advance(60_000);
    // Two readers, each with at most two targets per round of at least 1.5 seconds.
    expect(dials).to.be.within(1, 160);
  });
});

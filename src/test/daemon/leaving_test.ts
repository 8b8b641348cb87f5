import { expect } from 'chai';
import { Fleet, type FleetNode } from '../../bench/fleet.js';
import { ReleaseNote } from '../../contracts.js';
import { MachineClock } from '../../runtime/clock.js';
import { StatingConduct } from '../../standins/upstream_conduct.js';
import { Client } from '../../tool/client.js';
import { ask } from '../requests/test_path.js';

const clock = new MachineClock();
const LONG_MS = 10_000;
const NOTE = ReleaseNote.parse({
  id: 'opening',
  author: 'dana',
  add: {
    upstreams: [{ name: 'bookings' }],
    routes: [{ name: 'seats', pathPrefix: '/seats', upstream: 'bookings' }],
  },
});

describe('Instance', () => {
  // Guards against processes that send new work to an instance because it is published as ready.
  it('publishes its upstream instance as draining once an answer states that it leaves', async () => {
    await using fleet = await Fleet.start(clock, {
      dataCentres: ['arima'],
      upstreams: ['bookings', 'bookings'],
      hasIds: true,
    });
    const [leaving, other] = fleet.nodes as [FleetNode, FleetNode];
    const stateSeen = () =>
      other.instance.roster.get(leaving.instance.settings.instance)?.endpoint?.state;
    const deadline = clock.now() + LONG_MS;
    await fleet.waitUntil(() => stateSeen() === 'ready', deadline);
    await new Client(`127.0.0.1:${leaving.instance.operatorsPort}`).call('submit', NOTE);
    const isApplied = ({ instance }: FleetNode) => instance.replica.current.number === 1;
    await fleet.waitUntil(() => fleet.nodes.every(isApplied), deadline);
    leaving.upstream.conduct = new StatingConduct({ 'instance-leaving': '1' });
    while (stateSeen() === 'ready' && clock.now() < deadline) {
      await ask(other.instance.callerPort, { path: '/seats' });
    }
    expect(stateSeen()).to.equal('draining');
  });
});

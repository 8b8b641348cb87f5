/** Two processes with an upstream instance each, for tests of stops. */
import { Fleet, type FleetNode } from '../../bench/fleet.js';
import { ReleaseNote } from '../../contracts.js';
import { type Clock } from '../../runtime/clock.js';
import { Client } from '../../tool/client.js';

const READY_TIMEOUT_MS = 10_000;
const NOTE = ReleaseNote.parse({
  id: 'opening',
  author: 'dana',
  add: {
    upstreams: [{ name: 'bookings' }],
    routes: [
      { name: 'menus', pathPrefix: '/menus', upstream: 'bookings' },
      { name: 'seats', pathPrefix: '/seats', upstream: 'bookings', repeatable: false },
    ],
  },
});

/** Resolves once both processes have the configuration and know both upstream instances. */
export async function startBookingFleet(clock: Clock, uplinkKbps?: number): Promise<Fleet> {
  const upstreams = ['bookings', 'bookings'];
  const fleet = await Fleet.start(clock, {
    dataCentres: ['arima'],
    upstreams,
    ...(uplinkKbps !== undefined && { uplinkKbps }),
  });
  const [first] = fleet.nodes;
  const knowsBothEndpoints = ({ instance }: FleetNode) =>
    instance.isReady &&
    instance.roster.live().filter((member) => member.endpoint?.state === 'ready').length === 2;
  const deadline = clock.now() + READY_TIMEOUT_MS;
  await fleet.waitUntil(() => fleet.nodes.every(knowsBothEndpoints), deadline);
  await new Client(`127.0.0.1:${first!.instance.operatorsPort}`).call('submit', NOTE);
  await fleet.waitUntil(
    () => fleet.nodes.every(({ instance }) => instance.replica.current.number === 1),
    deadline,
  );
  return fleet;
}

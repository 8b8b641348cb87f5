import { expect } from 'chai';
import { type Announcement } from '../../membership/announcement.js';
import { PROMPT } from '../../membership/pace.js';
import { TestFleet } from '../distribution/test_fleet.js';

const READY: Announcement = {
  upstream: 'listings',
  state: 'ready',
  slots: 20,
  host: '127.0.0.1',
  port: 80,
  id: 'i-1',
  born: 10,
  sequence: 4,
};
/** Time for a starting process to connect and query the drain. */
const START_MS = 2_000;
const GOSSIP_MS = 200;

const start = () => TestFleet.start({ sizes: { arima: 4 }, pace: PROMPT });

/** State of the endpoint of `name` in the rosters of the other processes. */
function endpointStates(fleet: TestFleet, name: string): (string | undefined)[] {
  return fleet.alive
    .filter((node) => node.name !== name)
    .map(({ control }) => control.roster.get(name)?.endpoint?.state);
}

describe('drains of endpoints', () => {
  // Guards against a restarted process that publishes an endpoint as ready after the endpoint
  // announced to the previous process that it is leaving.
  it('apply to the successor of the process that received them', async () => {
    await using fleet = await start();
    const [{ name, host, control }] = fleet.alive as [(typeof fleet.alive)[0]];
    control.endpointLease.renew(READY);
    control.endpointLease.depart({ id: 'i-1', born: 10 });
    await fleet.time.advance(GOSSIP_MS);
    fleet.kill(name);
    const successor = fleet.launch(name, host.dataCentre).control.endpointLease;
    // A wrong answer of a health check, and a delayed announcement.
    successor.renew({ ...READY, born: undefined, sequence: undefined });
    successor.renew({ ...READY, sequence: 3 });
    await fleet.time.advance(START_MS);
    expect(endpointStates(fleet, name)).to.not.include('ready');
    successor.renew({ ...READY, born: 11, sequence: 1 });
    await fleet.time.advance(GOSSIP_MS);
    expect(endpointStates(fleet, name)).to.deep.equal(['ready', 'ready', 'ready']);
  });

  // Guards against the same after a `draining` announcement, which a later `ready` one ends.
  it('apply until the endpoint announces a later state', async () => {
    await using fleet = await start();
    const [{ name, host, control }] = fleet.alive as [(typeof fleet.alive)[0]];
    control.endpointLease.renew({ ...READY, state: 'draining' });
    await fleet.time.advance(GOSSIP_MS);
    fleet.kill(name, 'silent');
    const successor = fleet.launch(name, host.dataCentre).control.endpointLease;
    successor.renew({ ...READY, sequence: 3 });
    await fleet.time.advance(START_MS);
    expect(endpointStates(fleet, name)).to.not.include('ready');
    successor.renew({ ...READY, sequence: 5 });
    await fleet.time.advance(GOSSIP_MS);
    expect(endpointStates(fleet, name)).to.deep.equal(['ready', 'ready', 'ready']);
  });

  // Guards against an endpoint that never becomes ready again because its announcements have no
  // sequence.
  it('do not apply to a successor if announcements have no sequence', async () => {
    await using fleet = await start();
    const [{ name, host, control }] = fleet.alive as [(typeof fleet.alive)[0]];
    const unordered = { ...READY, born: undefined, sequence: undefined };
    control.endpointLease.renew({ ...unordered, state: 'draining' });
    await fleet.time.advance(GOSSIP_MS);
    fleet.kill(name);
    const successor = fleet.launch(name, host.dataCentre).control.endpointLease;
    await fleet.time.advance(START_MS);
    successor.renew(unordered);
    await fleet.time.advance(GOSSIP_MS);
    expect(endpointStates(fleet, name)).to.deep.equal(['ready', 'ready', 'ready']);
  });

  // Guards against a process without neighbours that waits for their answers forever.
  it('do not hold up announcements of a process without neighbours', async () => {
    await using fleet = await TestFleet.start({ sizes: { arima: 1 }, pace: PROMPT });
    const [{ control }] = fleet.alive as [(typeof fleet.alive)[0]];
    control.endpointLease.renew(READY);
    expect(control.roster.self.endpoint?.state).to.equal('ready');
  });
});

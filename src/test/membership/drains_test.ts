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
/** For a process that starts to be acquainted with the others. */
const START_MS = 2_000;
const GOSSIP_MS = 200;

const start = () => TestFleet.start({ sizes: { arima: 4 }, pace: PROMPT });

/** What the others believe of the endpoint beside `name`. */
function believed(fleet: TestFleet, name: string): (string | undefined)[] {
  return fleet.alive
    .filter((node) => node.name !== name)
    .map(({ control }) => control.roster.get(name)?.endpoint?.state);
}

describe('drains of endpoints', () => {
  // Guards against a process that takes an endpoint back which had told the one before it that it drains.
  it('bind the process that starts after the one that heard them', async () => {
    await using fleet = await start();
    const [{ name, host, control }] = fleet.alive as [(typeof fleet.alive)[0]];
    control.endpointLease.take(READY);
    control.endpointLease.depart({ id: 'i-1', born: 10 });
    await fleet.time.advance(GOSSIP_MS);
    fleet.kill(name);
    const successor = fleet.launch(name, host.dataCentre).control.endpointLease;
    // A look at a health check that says so falsely, and a report that was held up on its way.
    successor.take({ ...READY, born: undefined, sequence: undefined });
    successor.take({ ...READY, sequence: 3 });
    await fleet.time.advance(START_MS);
    expect(believed(fleet, name)).to.not.include('ready');
    successor.take({ ...READY, born: 11, sequence: 1 });
    await fleet.time.advance(GOSSIP_MS);
    expect(believed(fleet, name)).to.deep.equal(['ready', 'ready', 'ready']);
  });

  // Guards against the same for an endpoint that only said that it drains; which a later report takes back.
  it('bind it until the endpoint says otherwise later', async () => {
    await using fleet = await start();
    const [{ name, host, control }] = fleet.alive as [(typeof fleet.alive)[0]];
    control.endpointLease.take({ ...READY, state: 'draining' });
    await fleet.time.advance(GOSSIP_MS);
    fleet.kill(name, 'silent');
    const successor = fleet.launch(name, host.dataCentre).control.endpointLease;
    successor.take({ ...READY, sequence: 3 });
    await fleet.time.advance(START_MS);
    expect(believed(fleet, name)).to.not.include('ready');
    successor.take({ ...READY, sequence: 5 });
    await fleet.time.advance(GOSSIP_MS);
    expect(believed(fleet, name)).to.deep.equal(['ready', 'ready', 'ready']);
  });

  // Guards against an endpoint that stays away for good, since its reports have no order.
  it('bind nobody where a later report could not be told from an earlier one', async () => {
    await using fleet = await start();
    const [{ name, host, control }] = fleet.alive as [(typeof fleet.alive)[0]];
    const unordered = { ...READY, born: undefined, sequence: undefined };
    control.endpointLease.take({ ...unordered, state: 'draining' });
    await fleet.time.advance(GOSSIP_MS);
    fleet.kill(name);
    const successor = fleet.launch(name, host.dataCentre).control.endpointLease;
    await fleet.time.advance(START_MS);
    successor.take(unordered);
    await fleet.time.advance(GOSSIP_MS);
    expect(believed(fleet, name)).to.deep.equal(['ready', 'ready', 'ready']);
  });

  // Guards against a process without neighbours that waits for their word for good.
  it('are asked for in vain where nobody can know of any', async () => {
    await using fleet = await TestFleet.start({ sizes: { arima: 1 }, pace: PROMPT });
    const [{ control }] = fleet.alive as [(typeof fleet.alive)[0]];
    control.endpointLease.take(READY);
    expect(control.roster.self.endpoint?.state).to.equal('ready');
  });
});

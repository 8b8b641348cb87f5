import { expect } from 'chai';
import { type Change, Resource, Team } from '../../contracts.js';
import { Replica } from '../../distribution/replica.js';
import { OperatorObjectDecoder } from '../../platform/operator_object.js';
import { MachineClock } from '../../runtime/clock.js';
import { TestFleet } from '../distribution/test_fleet.js';
import { previousRelease, PreviousResource } from './previous_release.js';
import { OPEN_ROUTE, teamOf } from './team_path.js';

const clock = new MachineClock();
const SIZES = { arima: 6, chaguanas: 4 };
/** Time within which a version has to be in force, in milliseconds. */
const IN_FORCE_MS = 2_500;
const TEAM_CHANGE: Change = { put: [teamOf('pulo780', ['maj3nr26tta828m82thh'])], remove: [] };

/** Starts a fleet in which the processes at these ranks of the first data centre are replaced by older ones. */
async function startMixed(isPrevious: (name: string) => boolean): Promise<TestFleet> {
  const fleet = await TestFleet.start({
    sizes: SIZES,
    releaseOf: (name) => (isPrevious(name) ? previousRelease(clock) : undefined),
  });
  await fleet.accept();
  expect(await fleet.time.until(() => fleet.holds(1), IN_FORCE_MS)).to.equal(true);
  return fleet;
}

describe('a process of the release before teams', () => {
  it('has a schema that reads neither a team nor a public route', () => {
    const open = Resource.parse(OPEN_ROUTE);
    const results = [teamOf('pulo780', []), open, { ...open, public: undefined }].map(
      (resource) => {
        const known = Object.entries(resource).filter(([, value]) => value !== undefined);
        return PreviousResource.safeParse(Object.fromEntries(known)).success;
      },
    );
    expect(results).to.deep.equal([false, false, true]);
    expect(Team.safeParse(teamOf('pulo780', [])).success).to.equal(true);
  });

  // Guards against processes of this release that stay behind because their parent, or all readers of
  // their data centre, are of the release before.
  for (const [place, isPrevious] of [
    ['as all readers of one data centre', (name: string) => name.startsWith('chaguanas')],
    ['as half of one data centre', (name: string) => /^arima-[123]$/.test(name)],
  ] as const) {
    it(`keeps its version and serves on, and holds up no other process: ${place}`, async () => {
      await using fleet = await startMixed(isPrevious);
      const version = await fleet.accept(TEAM_CHANGE);
      const [previous, current] = [true, false].map((is) =>
        fleet.alive.filter(({ name }) => isPrevious(name) === is),
      );
      const holds = () =>
        current!.every(({ control }) => control.replica.current.number === version);
      expect(await fleet.time.until(holds, IN_FORCE_MS)).to.equal(true);
      await fleet.time.advance(60_000);
      const state = previous!.map(({ control: { replica, readiness } }) => ({
        number: replica.current.number,
        isReady: readiness.isReady,
      }));
      expect(state).to.deep.equal(previous!.map(() => ({ number: 1, isReady: true })));
      const refusals = previous!.map(({ control }) => control.replica.refusal?.reason);
      expect(new Set(refusals)).to.include('unreadable');
    });
  }

  // Withdrawing teams is no way back: the versions that held them are still among those to be read.
  it('stays behind when the last team is withdrawn, and catches up once it is updated', async () => {
    let isUpdated = false;
    await using fleet = await startMixed((name) => name === 'arima-2' && !isUpdated);
    await fleet.accept(TEAM_CHANGE);
    await fleet.time.advance(10_000);
    const version = await fleet.accept({ put: [], remove: ['team/pulo780'] });
    await fleet.time.advance(60_000);
    const numbers = fleet.alive.map(({ name, control }) => [name, control.replica.current.number]);
    const behind = numbers.filter(([, number]) => number !== version);
    expect(behind).to.deep.equal([['arima-2', 1]]);
    isUpdated = true;
    fleet.kill('arima-2');
    fleet.launch('arima-2', 'arima');
    expect(await fleet.time.until(() => fleet.holds(version), 10_000)).to.equal(true);
  });

  it('takes no requests if it starts while a version with a team is in force', async () => {
    const isPrevious = (name: string) => name === 'arima-late';
    await using fleet = await startMixed(isPrevious);
    await fleet.accept(TEAM_CHANGE);
    await fleet.time.advance(IN_FORCE_MS);
    const late = fleet.launch('arima-late', 'arima');
    await fleet.time.advance(60_000);
    const { replica, readiness } = late.control;
    expect([replica.current.number, readiness.isReady]).to.deep.equal([0, false]);
  });

  // The reason why all processes are updated before the first team is added: on the platform, a
  // process of the release before reads the object without its teams, and passes that on.
  it('reads the operators’ object without its teams, and passes that on to its children', () => {
    const route = {
      host: 'a.example',
      pathPrefix: '/',
      kind: 'safe',
      timeout: '1s',
      targetLatency: '1s',
      priority: 1,
      service: 'seats',
      maxAttempts: 1,
    };
    const object = { routes: { seats: route }, services: { seats: {} } };
    const tenants = { pulo780: { apiKeys: ['maj3nr26tta828m82thh'] } };
    const decode = (part: object) =>
      new OperatorObjectDecoder().decode(JSON.stringify({ ...object, ...part })).resources;
    const [previous, child, reader] = [new Replica(), new Replica(), new Replica()];
    for (const replica of [previous, child, reader])
      replica.replace(7, decode({ version: 'r7' }), 0);
    previous.replace(8, decode({ version: 'r8' }), 0);
    reader.replace(8, decode({ version: 'r8', tenants }), 0);
    expect(child.apply(previous.since(7)!, 'push')).to.equal(true);
    expect([...child.current.all('team')]).to.deep.equal([]);
    expect(reader.apply(previous.since(7)!, 'push')).to.equal(false);
    expect(reader.refusal?.reason).to.equal('chain');
    expect([...reader.current.all('team')].map(({ name }) => name)).to.deep.equal(['pulo780']);
  });
});

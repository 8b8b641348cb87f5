import { expect } from 'chai';
import { Observer, type Ran } from '../../rollout/observer.js';
import { Path } from './path.js';

/** Keeps what a guard tells. */
class Notes extends Observer {
  readonly noted: unknown[] = [];

  isShut = false;

  async observe<T extends Ran>(route: string, work: () => Promise<T>): Promise<T> {
    try {
      const ran = await work();
      this.noted.push({ route, isFailure: ran.isFailure, isTimed: ran.tookMs !== undefined });
      return ran;
    } catch (error) {
      this.noted.push({ route, isBroken: true });
      throw error;
    }
  }
}

describe('a guard of a version that is rolled out', () => {
  it('tells how requests end, by route, and times none while its endpoint is cold', async () => {
    await using path = await Path.start(1);
    const { guard } = path.stations[0]!;
    const notes = new Notes();
    guard.rollouts = notes;
    await path.ask({ path: '/menus/1' });
    await path.ask({
      path: '/seats/1',
      method: 'POST',
      body: 'seat 12',
      headers: { 'x-conduct': 'break' },
    });
    guard.announce({ ...guard.announced!, coldMs: 800 });
    await path.ask({ path: '/menus/2' });
    expect(notes.noted).toMatchSnapshot();
  });

  // Guards against entries that have not heard a verdict yet going on with a bad version.
  it('refuses, before it runs, what comes for a version that was withdrawn', async () => {
    await using path = await Path.start(2);
    const [shut] = path.stations;
    const notes = new Notes();
    notes.isShut = true;
    shut!.guard.rollouts = notes;
    for (let index = 0; index < 20; index++) {
      const { status } = await path.ask({ path: '/seats/1', method: 'POST', body: 'seat 12' });
      expect(status).to.equal(200);
    }
    expect([notes.noted.length, shut!.upstream.runs.size]).to.deep.equal([0, 0]);
  });
});

import { expect } from 'chai';
import { Observer, type ObservedAnswer } from '../../rollout/observer.js';
import { TestPath } from './test_path.js';

/** Records the results that a guard reports. */
class RecordingObserver extends Observer {
  readonly results: unknown[] = [];

  isShut = false;

  async observe<T extends ObservedAnswer>(route: string, work: () => Promise<T>): Promise<T> {
    try {
      const answer = await work();
      this.results.push({
        route,
        isFailure: answer.isFailure,
        isTimed: answer.tookMs !== undefined,
      });
      return answer;
    } catch (error) {
      this.results.push({ route, isBroken: true });
      throw error;
    }
  }
}

describe('a guard during a rollout', () => {
  it('reports results by route, without times while its endpoint warms up', async () => {
    await using path = await TestPath.start(1);
    const { guard } = path.endpoints[0]!;
    const observer = new RecordingObserver();
    guard.rolloutObserver = observer;
    await path.ask({ path: '/menus/1' });
    await path.ask({
      path: '/seats/1',
      method: 'POST',
      body: 'seat 12',
      headers: { 'x-conduct': 'break' },
    });
    guard.announce({ ...guard.announced!, coldMs: 800 });
    await path.ask({ path: '/menus/2' });
    expect(observer.results).toMatchSnapshot();
  });

  // Guards against requests of entries that have not learned yet that a version was withdrawn.
  it('refuses requests for a withdrawn version before they run', async () => {
    await using path = await TestPath.start(2);
    const [shut] = path.endpoints;
    const observer = new RecordingObserver();
    observer.isShut = true;
    shut!.guard.rolloutObserver = observer;
    for (let index = 0; index < 20; index++) {
      const { status } = await path.ask({ path: '/seats/1', method: 'POST', body: 'seat 12' });
      expect(status).to.equal(200);
    }
    expect([observer.results.length, shut!.upstream.runs.size]).to.deep.equal([0, 0]);
  });
});

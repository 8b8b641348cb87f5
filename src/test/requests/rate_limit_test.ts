import { once } from 'node:events';
import { expect } from 'chai';
import { StatingConduct } from '../../standins/upstream_conduct.js';
import { TestPath } from './test_path.js';

const CALLS = 300;
const CALL_EVERY_MS = 10;
const WINDOW_MS = 2_000;
/** Requests of the window that an instance tolerates beyond one and a half times its limit. */
const SLACK = 5;

const limitedTo = (perSecond: string) => new StatingConduct({ 'instance-rate-limit': perSecond });

/** Most arrivals in any window. */
function mostInWindow({ arrivals }: StatingConduct): number {
  const counts = arrivals.map(
    (from) => arrivals.filter((at) => at >= from && at < from + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

const pause = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Sends steady calls; resolves to the number of answers by status. */
async function call(path: TestPath): Promise<Record<number, number>> {
  const calls: Promise<{ status: number }>[] = [];
  for (let index = 0; index < CALLS; index++) {
    calls.push(path.ask({ path: '/menus', headers: { 'request-timeout-ms': '1000' } }));
    await pause(CALL_EVERY_MS);
  }
  const counts: Record<number, number> = {};
  for (const { status } of await Promise.all(calls)) counts[status] = (counts[status] ?? 0) + 1;
  return counts;
}

describe('an upstream instance with a rate limit', () => {
  // Guards against an instance in need that gets more requests than it says it can take.
  it('gets no more requests than it states, while the others get the rest', async () => {
    await using path = await TestPath.start(2);
    const conduct = limitedTo('15');
    path.endpoints[0]!.upstream.conduct = conduct;
    expect(await call(path)).to.deep.equal({ 200: CALLS });
    expect(mostInWindow(conduct)).to.be.within(1, (1.5 * 15 * WINDOW_MS) / 1_000 + SLACK);
  });

  // Guards against a process that has just started beside the instance and does not know its limit.
  it('gets no more after a restart of the process beside it', async () => {
    await using path = await TestPath.start(1);
    const { upstream } = path.endpoints[0]!;
    const conduct = limitedTo('2');
    upstream.conduct = conduct;
    await path.ask({ path: '/menus' });
    upstream.delayMs = 300;
    await path.replaceGuard(0);
    const headers = { 'request-timeout-ms': '1000' };
    const calls = Array.from({ length: 40 }, () => path.ask({ path: '/menus', headers }));
    await Promise.all(calls);
    expect(mostInWindow(conduct)).to.be.within(1, (1.5 * 2 * WINDOW_MS) / 1_000 + SLACK);
  });

  // Guards against a new run that is held to the limit of an old one which only entries remember.
  it('is not held to the limit of its former run after a restart of the process beside it', async () => {
    await using path = await TestPath.start(1);
    const { guard, upstream } = path.endpoints[0]!;
    guard.announce({ ...guard.announced!, id: 'i-1', born: 1 });
    upstream.conduct = limitedTo('0.5');
    await path.ask({ path: '/menus' });
    upstream.conduct = undefined;
    const successor = await path.replaceGuard(0);
    successor.announce({ ...successor.announced!, born: 2 });
    const { status } = await path.ask({ path: '/menus' });
    expect([status, successor.limit.rateLimit.perSecond]).to.deep.equal([200, Infinity]);
  });

  it('is left alone again once its answers state no limit, and keeps one through unreadable ones', async () => {
    await using path = await TestPath.start(1);
    const { guard, upstream } = path.endpoints[0]!;
    const seen: number[] = [];
    for (const stated of ['50', 'many', '-1', '1e9', undefined]) {
      upstream.conduct = stated === undefined ? undefined : limitedTo(stated);
      const { status } = await path.ask({ path: '/menus' });
      expect(status).to.equal(200);
      seen.push(guard.limit.rateLimit.perSecond);
    }
    expect(seen).to.deep.equal([50, 50, 50, 50, Infinity]);
  });

  // Guards against a new run that is held to the limit of the one before it at the same address.
  it('has none when a new run begins, even if an answer of the old one comes late', async () => {
    await using path = await TestPath.start(1);
    const { guard, upstream } = path.endpoints[0]!;
    const oldRun = { ...guard.announced!, id: 'i-1', born: 1 };
    guard.announce(oldRun);
    upstream.conduct = limitedTo('50');
    await path.ask({ path: '/menus' });
    upstream.delayMs = 100;
    const late = path.ask({ path: '/menus' });
    await once(upstream, 'run');
    guard.announce({ ...oldRun, born: 2 });
    expect(guard.limit.rateLimit.perSecond).to.equal(Infinity);
    await late;
    expect(guard.limit.rateLimit.perSecond).to.equal(Infinity);
  });
});

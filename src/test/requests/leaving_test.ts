import { expect } from 'chai';
import { StatingConduct } from '../../standins/upstream_conduct.js';
import { type AnnouncedEndpoint } from '../../requests/guard_request.js';
import { TestPath } from './test_path.js';

const CALLS = 20;

/** Lets the first instance of the path say that it leaves, and makes requests until it has. */
async function leave(path: TestPath): Promise<StatingConduct> {
  const conduct = new StatingConduct({ 'instance-leaving': '1' });
  path.endpoints[0]!.upstream.conduct = conduct;
  announce(path, { id: 'i-1', born: 1 });
  while (conduct.arrivals.length === 0) await path.ask({ path: '/menus' });
  return conduct;
}

function announce(path: TestPath, change: Partial<AnnouncedEndpoint>): void {
  const { guard } = path.endpoints[0]!;
  guard.announce({ ...guard.announced!, ...change });
}

async function statuses(path: TestPath): Promise<number[]> {
  const seen = new Set<number>();
  for (let call = 0; call < CALLS; call++) seen.add((await path.ask({ path: '/menus' })).status);
  return [...seen];
}

describe('an upstream instance that states in its answers that it leaves', () => {
  // Guards against new work for an instance that leaves while its reports still call it ready.
  it('gets no more requests, although it goes on reporting itself ready', async () => {
    await using path = await TestPath.start(2);
    const conduct = await leave(path);
    announce(path, { state: 'ready' });
    expect(await statuses(path)).to.deep.equal([200]);
    expect(conduct.arrivals).to.have.length(1);
  });

  // Guards against a process that has just started beside the instance and never heard of it.
  it('gets no more requests after a restart of the process beside it', async () => {
    await using path = await TestPath.start(1);
    const conduct = await leave(path);
    await path.replaceGuard(0);
    expect(await statuses(path)).to.deep.equal([503]);
    expect(conduct.arrivals).to.have.length(1);
  });

  // Guards against an instance that is shut out because the one before it at its address left.
  it('gets requests again once a new run of it begins', async () => {
    await using path = await TestPath.start(1);
    await leave(path);
    path.endpoints[0]!.upstream.conduct = undefined;
    announce(path, { born: 2 });
    expect(await statuses(path)).to.deep.equal([200]);
  });

  it('is told to the process, which publishes it, once for each run', async () => {
    await using path = await TestPath.start(1);
    const { guard } = path.endpoints[0]!;
    const published: unknown[] = [];
    guard.onLeaving = (run) => published.push(run);
    await leave(path);
    await statuses(path);
    expect(published).to.deep.equal([{ id: 'i-1', born: 1 }]);
  });
});

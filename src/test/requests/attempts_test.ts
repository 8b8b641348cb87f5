import { expect } from 'chai';
import { Claims } from '../../claims/claims.js';
import { Quarantine } from '../../quarantine/quarantine.js';
import { headFingerprint } from '../../quarantine/request_fingerprint.js';
import { SingleClaims } from '../../claims/single_claims.js';
import { SeededRandom } from '../../runtime/random.js';
import { PlatformStore } from '../../standins/platform_store.js';
import { type Answer, TestPath } from './test_path.js';

function summaryOf({ status, headers }: Answer) {
  const { 'barleyhaven-verdict': verdict, 'barleyhaven-reason': reason } = headers;
  const { 'barleyhaven-retried': retried, 'retry-after': retryAfter } = headers;
  return { status, verdict, reason, retried, retryAfter };
}

/** Headers for a request whose connection breaks after it has run, at any endpoint. */
function breakingHeaders(id: string, retried?: string) {
  const marker = retried === undefined ? {} : { 'barleyhaven-retried': retried };
  return { 'x-conduct': 'break', 'x-request': id, ...marker };
}

describe('Attempts', () => {
  // Guards against retries at several hops, which multiply: a request with the retried marker, or one
  // that must not run twice, is sent once; others three times, and the response carries the marker.
  it('retries at one hop only, and only repeatable requests', async () => {
    await using path = await TestPath.start(2);
    const first = await path.ask({ path: '/menus/1', headers: breakingHeaders('first') });
    const marked = await path.ask({ path: '/menus/1', headers: breakingHeaders('marked', '1') });
    const once = await path.ask({
      path: '/seats/1',
      method: 'POST',
      headers: breakingHeaders('once'),
    });
    const runs = ['first', 'marked', 'once'].map((id) => path.runs(id));
    expect({
      first: summaryOf(first),
      marked: summaryOf(marked),
      once: summaryOf(once),
      runs,
    }).toMatchSnapshot();
  });

  // Guards against retries that triple the load on a failing service: only successful responses earn
  // further retries, beyond the initial budget and 0.5 a second.
  it('stops retrying an upstream when every request to it fails', async () => {
    await using path = await TestPath.start(2);
    const startedAt = path.clock.now();
    for (let index = 0; index < 40; index++) {
      await path.ask({ path: '/menus/1', headers: breakingHeaders('all') });
    }
    const floor = (path.clock.now() - startedAt) / 2_000;
    expect(path.runs('all')).to.be.within(50, 50 + floor);
  });

  // Guards against requests lost at a draining endpoint, also those that must not run twice and those
  // already retried by another hop.
  it('fails over from an endpoint that is draining', async () => {
    await using path = await TestPath.start(2);
    const [leaving] = path.endpoints;
    const { announced } = leaving!.guard;
    leaving!.guard.announce({ ...announced!, state: 'draining' });
    const headers = { 'barleyhaven-retried': '1' };
    for (let index = 0; index < 20; index++) {
      const answer = await path.ask({ path: '/seats/1', method: 'POST', headers, body: 'seat 12' });
      expect(summaryOf(answer)).to.include({ status: 200, verdict: 'ran' });
    }
  });

  describe('with an idempotency key', () => {
    async function startWithClaims(): Promise<{ path: TestPath; store: PlatformStore }> {
      const path = await TestPath.start(2);
      const store = new PlatformStore(path.clock);
      path.endpoints.forEach(({ guard, name }, seed) => {
        const random = new SeededRandom(seed);
        const claims = new SingleClaims(store, path.clock, random);
        guard.claims = new Claims(claims, name, path.clock, random);
      });
      return { path, store };
    }

    function book(path: TestPath, id: string): Promise<Answer> {
      const headers = { 'x-request': id, 'idempotency-key': 'k-1' };
      return path.ask({ path: '/seats/1', method: 'POST', headers, body: 'seat 12' });
    }

    // Guards against a booking that runs twice when its caller sends it ten times at once: the others
    // get the recorded outcome, or a 409 while it runs.
    it('runs once when sent concurrently to several endpoints', async () => {
      const { path } = await startWithClaims();
      await using owned = path;
      const answers = await Promise.all(Array.from({ length: 10 }, () => book(owned, 'booking')));
      const statuses = new Set(answers.map(({ status }) => status));
      expect([...statuses].every((status) => status === 200 || status === 409)).to.equal(true);
      expect(statuses.has(200)).to.equal(true);
      expect(path.runs('booking')).to.equal(1);
    });

    // Guards against retries at another endpoint, which shares the unavailable store: the refusal is
    // final and tells the caller when to retry.
    it('is refused at once while the claim store is unavailable', async () => {
      const { path, store } = await startWithClaims();
      await using owned = path;
      store.faults.down = true;
      const refusal = summaryOf(await book(owned, 'booking'));
      expect({ refusal, runs: path.runs('booking') }).toMatchSnapshot();
    });
  });

  it('refuses a quarantined request before it is sent anywhere', async () => {
    await using path = await TestPath.start(1);
    const quarantine = new Quarantine(path.clock, new SeededRandom(1), () => {});
    path.entry.quarantine = quarantine;
    const poison = headFingerprint('bookings', { method: 'GET', url: '/menus/1', headers: {} });
    quarantine.recordDeath('bookings', [poison]);
    quarantine.recordDeath('bookings', [poison]);
    const answer = await path.ask({ path: '/menus/1', headers: { 'x-request': 'poison' } });
    const { retryAfter, ...refused } = summaryOf(answer);
    expect(Number(retryAfter)).to.be.within(1, 30);
    const other = summaryOf(await path.ask({ path: '/menus/2' }));
    expect({ refused, other, runs: path.runs('poison') }).toMatchSnapshot();
  });
});

import { expect } from 'chai';
import { Claims } from '../../claims/claims.js';
import { Quarantine } from '../../quarantine/quarantine.js';
import { headFingerprint } from '../../quarantine/request_fingerprint.js';
import { SingleClaims } from '../../claims/single_claims.js';
import { SeededRandom } from '../../runtime/random.js';
import { PlatformStore } from '../../standins/platform_store.js';
import { type Answer, Path } from './path.js';

function told({ status, headers }: Answer) {
  const { 'barleyhaven-verdict': verdict, 'barleyhaven-reason': reason } = headers;
  const { 'barleyhaven-retried': retried, 'retry-after': retryAfter } = headers;
  return { status, verdict, reason, retried, retryAfter };
}

/** Breaks the connection after the request has run, wherever it arrives. */
function breaking(id: string, retried?: string) {
  const marker = retried === undefined ? {} : { 'barleyhaven-retried': retried };
  return { 'x-conduct': 'break', 'x-request': id, ...marker };
}

describe('Attempts', () => {
  // A service breaks every connection. Its caller sees may-have-run after three attempts, and the
  // marker, by which the hops above know that they need not try again. A request that comes with
  // the marker, and one that must not run twice, is sent once.
  it('retries at one hop only, and only what may run twice', async () => {
    await using path = await Path.start(2);
    const first = await path.ask({ path: '/menus/1', headers: breaking('first') });
    const marked = await path.ask({ path: '/menus/1', headers: breaking('marked', '1') });
    const once = await path.ask({ path: '/seats/1', method: 'POST', headers: breaking('once') });
    const runs = ['first', 'marked', 'once'].map((id) => path.runs(id));
    expect({ first: told(first), marked: told(marked), once: told(once), runs }).toMatchSnapshot();
  });

  // The same for forty requests in a row. Three attempts each would be three times the load;
  // nothing is answered, so after what was saved up there are no more retries.
  it('stops retrying an upstream that answers nothing', async () => {
    await using path = await Path.start(2);
    const startedAt = path.clock.now();
    for (let index = 0; index < 40; index++) {
      await path.ask({ path: '/menus/1', headers: breaking('all') });
    }
    const floor = (path.clock.now() - startedAt) / 2_000;
    expect(path.runs('all')).to.be.within(50, 50 + floor);
  });

  // One of two endpoints is leaving. Requests that reach it first move on to the other one, also
  // those that must not run twice and those that were retried above: none is lost.
  it('moves on from an endpoint that did not take the request', async () => {
    await using path = await Path.start(2);
    const [leaving] = path.stations;
    const { announced } = leaving!.guard;
    leaving!.guard.announce({ ...announced!, state: 'draining' });
    const headers = { 'barleyhaven-retried': '1' };
    for (let index = 0; index < 20; index++) {
      const answer = await path.ask({ path: '/seats/1', method: 'POST', headers, body: 'seat 12' });
      expect(told(answer)).to.include({ status: 200, verdict: 'ran' });
    }
  });

  describe('with a key', () => {
    async function claiming(): Promise<{ path: Path; store: PlatformStore }> {
      const path = await Path.start(2);
      const store = new PlatformStore(path.clock);
      path.stations.forEach(({ guard, name }, seed) => {
        const random = new SeededRandom(seed);
        const claims = new SingleClaims(store, path.clock, random);
        guard.claims = new Claims(claims, name, path.clock, random);
      });
      return { path, store };
    }

    function book(path: Path, id: string): Promise<Answer> {
      const headers = { 'x-request': id, 'idempotency-key': 'k-1' };
      return path.ask({ path: '/seats/1', method: 'POST', headers, body: 'seat 12' });
    }

    // A caller sends its booking ten times at once; the tries reach both endpoints. It runs once,
    // and the others are told that it runs, or how it ended.
    it('runs once, however often and wherever it is sent', async () => {
      const { path } = await claiming();
      await using owned = path;
      const answers = await Promise.all(Array.from({ length: 10 }, () => book(owned, 'booking')));
      const statuses = new Set(answers.map(({ status }) => status));
      expect([...statuses].every((status) => status === 200 || status === 409)).to.equal(true);
      expect(statuses.has(200)).to.equal(true);
      expect(path.runs('booking')).to.equal(1);
    });

    // The store is away. The refusal is final: it goes to the caller at once, with the time to come
    // back, and is not tried at the other endpoint, which shares the store.
    it('is refused at once while the store is away', async () => {
      const { path, store } = await claiming();
      await using owned = path;
      store.faults.down = true;
      const refusal = told(await book(owned, 'booking'));
      expect({ refusal, runs: path.runs('booking') }).toMatchSnapshot();
    });
  });

  it('refuses a quarantined request before it is sent anywhere', async () => {
    await using path = await Path.start(1);
    const quarantine = new Quarantine(path.clock, new SeededRandom(1), () => {});
    path.entry.quarantine = quarantine;
    const poison = headFingerprint('bookings', { method: 'GET', url: '/menus/1', headers: {} });
    quarantine.died('bookings', [poison]);
    quarantine.died('bookings', [poison]);
    const answer = await path.ask({ path: '/menus/1', headers: { 'x-request': 'poison' } });
    const { retryAfter, ...refused } = told(answer);
    expect(Number(retryAfter)).to.be.within(1, 30);
    const other = told(await path.ask({ path: '/menus/2' }));
    expect({ refused, other, runs: path.runs('poison') }).toMatchSnapshot();
  });
});

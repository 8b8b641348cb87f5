import { createServer } from 'node:http';
import { expect } from 'chai';
import { Ownership } from '../../runtime/ownership.js';
import { listen, shut } from '../../standins/listen.js';
import { memberOf, Path } from './path.js';

/** A process that takes requests and never says a word, as behind a cut. */
async function addSilent(path: Path, owned: Ownership): Promise<{ requests: number }> {
  const seen = { requests: 0 };
  const server = createServer(() => {
    seen.requests += 1;
  });
  const port = await listen(server);
  owned.use({
    [Symbol.asyncDispose]: async () => {
      server.closeAllConnections();
      await shut(server);
    },
  });
  const endpoint = { upstream: 'bookings', state: 'ready', slots: 20 } as const;
  path.roster.merge([{ ...memberOf('silent', port), endpoint }]);
  return seen;
}

describe('acknowledgements', () => {
  // One of two processes has gone silent. A guest's request that reaches it would be waited for
  // until its deadline; it may run twice, so it is sent to the other one after a moment.
  it('sends what may run twice elsewhere when a process does not react', async () => {
    await using owned = new Ownership();
    await using path = await Path.start(1);
    const seen = await addSilent(path, owned);
    while (seen.requests === 0) {
      const answer = await path.ask({ path: '/menus/1', headers: { 'x-request': 'a' } });
      expect(answer.status).to.equal(200);
    }
  });

  // The only process is slow to react, and nobody else serves the request. Given up, it would be
  // answered 502 at once; it is waited for instead, until its deadline.
  it('waits for a process that does not react when there is no other', async () => {
    await using owned = new Ownership();
    await using path = await Path.start(0);
    await addSilent(path, owned);
    const startedAt = path.clock.now();
    const answer = await path.ask({ path: '/menus/1', headers: { 'request-timeout-ms': '700' } });
    expect([answer.status, path.clock.now() - startedAt >= 690]).to.deep.equal([504, true]);
  });

  // The silent process may have begun with a booking. It is not sent anywhere else.
  it('sends a booking to one process only', async () => {
    await using owned = new Ownership();
    await using path = await Path.start(1);
    const seen = await addSilent(path, owned);
    const headers = { 'x-request': 'booking', 'request-timeout-ms': '600' };
    while (seen.requests === 0) {
      const before = path.runs('booking');
      const answer = await path.ask({ path: '/seats/1', method: 'POST', headers, body: 'seat 12' });
      if (seen.requests === 0) continue;
      expect([answer.status, path.runs('booking')]).to.deep.equal([504, before]);
    }
  });
});

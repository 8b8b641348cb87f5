import { createServer } from 'node:http';
import { expect } from 'chai';
import { ResourceStack } from '../../runtime/resource_stack.js';
import { listen, closeServer } from '../../standins/listen.js';
import { memberOf, TestPath } from './test_path.js';

/** An endpoint whose guard accepts requests and never responds, as behind a network partition. */
async function addSilentEndpoint(
  path: TestPath,
  owned: ResourceStack,
): Promise<{ requests: number }> {
  const seen = { requests: 0 };
  const server = createServer(() => {
    seen.requests += 1;
  });
  const port = await listen(server);
  owned.use({
    [Symbol.asyncDispose]: async () => {
      server.closeAllConnections();
      await closeServer(server);
    },
  });
  const endpoint = { upstream: 'bookings', state: 'ready', slots: 20 } as const;
  path.roster.merge([{ ...memberOf('silent', port), endpoint }]);
  return seen;
}

describe('acknowledgements', () => {
  // Guards against a repeatable request waiting until its deadline for a guard that has gone silent
  // while another one could serve it.
  it('fails a repeatable request over to another guard when one does not acknowledge it', async () => {
    await using owned = new ResourceStack();
    await using path = await TestPath.start(1);
    const seen = await addSilentEndpoint(path, owned);
    while (seen.requests === 0) {
      const answer = await path.ask({ path: '/menus/1', headers: { 'x-request': 'a' } });
      expect(answer.status).to.equal(200);
    }
  });

  // Guards against a 502 for a request whose only guard is slow: without an alternative, it must wait
  // until its deadline.
  it('waits until the deadline for an unresponsive guard when there is no other', async () => {
    await using owned = new ResourceStack();
    await using path = await TestPath.start(0);
    await addSilentEndpoint(path, owned);
    const startedAt = path.clock.now();
    const answer = await path.ask({ path: '/menus/1', headers: { 'request-timeout-ms': '700' } });
    expect([answer.status, path.clock.now() - startedAt >= 690]).to.deep.equal([504, true]);
  });

  // Guards against a booking that runs twice: the silent guard may have started it.
  it('does not resend a non-repeatable request that was not acknowledged', async () => {
    await using owned = new ResourceStack();
    await using path = await TestPath.start(1);
    const seen = await addSilentEndpoint(path, owned);
    const headers = { 'x-request': 'booking', 'request-timeout-ms': '600' };
    while (seen.requests === 0) {
      const before = path.runs('booking');
      const answer = await path.ask({ path: '/seats/1', method: 'POST', headers, body: 'seat 12' });
      if (seen.requests === 0) continue;
      expect([answer.status, path.runs('booking')]).to.deep.equal([504, before]);
    }
  });
});

import { request as httpRequest, type ServerResponse } from 'node:http';
import { once } from 'node:events';
import { expect } from 'chai';
import { type RequestLog } from '../../logs/request_log.js';
import { LOOPBACK } from '../../standins/listen.js';
import { takeFaults } from '../faults.js';
import { TestPath } from './test_path.js';

const MENUS = { path: '/menus' };

/** A log that throws for each request, as a fault of the program would. */
const BROKEN_LOG = {
  begin() {
    throw new Error('broken');
  },
} as unknown as RequestLog;

describe('a fault of the program while it handles a request', () => {
  // Guards against the end of the process with the requests of all others, and against a caller that waits
  // until its timeout.
  for (const hop of ['entry', 'guard'] as const) {
    it(`cuts that request and no other, at the ${hop}`, async () => {
      await using path = await TestPath.start();
      const proxy = hop === 'entry' ? path.entry : path.endpoints[0]!.guard;
      const { upstream } = path.endpoints[0]!;
      upstream.delayMs = 300;
      const slow = path.ask(MENUS);
      await once(upstream, 'run');
      upstream.delayMs = 0;
      const { requestLog } = proxy;
      proxy.requestLog = BROKEN_LOG;
      const outcome = await path.ask(MENUS).then(
        ({ status }) => status,
        ({ code }: NodeJS.ErrnoException) => code,
      );
      proxy.requestLog = requestLog;
      expect(outcome).to.equal(hop === 'entry' ? 'ECONNRESET' : 502);
      expect((await slow).status).to.equal(200);
      expect(takeFaults().map(({ place }) => place)).to.include(hop);
    });
  }

  // Guards against the end of the process by an instance whose id is no valid Unicode, once it has stated a
  // rate limit: the guard sends the id back to entries with each refusal.
  it('does not occur for an instance with an id that cannot be encoded', async () => {
    await using path = await TestPath.start();
    const [{ guard }] = path.endpoints as [(typeof path.endpoints)[0]];
    guard.announce({ ...guard.announced!, id: '\ud800' });
    guard.limit.recordRateLimit(1_000, path.clock.now());
    guard.announce({ ...guard.announced!, state: 'down' });
    expect((await path.ask(MENUS)).status).to.equal(503);
  });

  // Guards against the end of the process by an error of one response that is being relayed.
  it('cuts a response that fails while it is relayed', async () => {
    await using path = await TestPath.start();
    let failing: ServerResponse | undefined;
    path.entry.server.once('request', (_, response: ServerResponse) => {
      failing = response;
    });
    const headers = { 'x-conduct': 'stall' };
    const sent = httpRequest({ host: LOOPBACK, port: path.port, ...MENUS, headers });
    sent.on('error', () => {});
    sent.end();
    const [answer] = (await once(sent, 'response')) as [NodeJS.ReadableStream];
    answer.resume().on('error', () => {});
    failing!.emit('error', new Error('broken'));
    await new Promise((resolve) => {
      answer.once('close', resolve);
    });
    expect((await path.ask(MENUS)).status).to.equal(200);
  });
});

import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { expect } from 'chai';
import { Claims } from '../../claims/claims.js';
import { SingleClaims } from '../../claims/single_claims.js';
import { PROGRESS_TIMEOUT_MS } from '../../requests/exchange.js';
import { Guard } from '../../requests/guard.js';
import { SeededRandom } from '../../runtime/random.js';
import { MachineClock } from '../../runtime/clock.js';
import { closeServer, listen, LOOPBACK } from '../../standins/listen.js';
import { PlatformStore } from '../../standins/platform_store.js';
import { UncaughtExceptions } from '../uncaught_exceptions.js';

describe('a request with a key whose caller does not read', () => {
  // Guards against the end of the process by the check of progress, after the response has been read.
  it('does not end the process after its response has been read', async () => {
    const clock = new MachineClock();
    const upstream = createServer((incoming, response) => {
      response.end(Buffer.alloc(incoming.url === '/huge' ? 30_000_000 : 20_000));
    });
    const guard = new Guard(clock);
    const random = new SeededRandom(1);
    const store = new SingleClaims(new PlatformStore(clock), clock, random);
    guard.claims = new Claims(store, 'a', clock, random);
    const port = await listen(upstream);
    const endpoint = { upstream: 'bookings', state: 'ready', slots: 2 } as const;
    guard.announce({ ...endpoint, host: LOOPBACK, port });
    const entry = connect({ host: LOOPBACK, port: await listen(guard.server) });
    using uncaught = new UncaughtExceptions();
    entry.on('error', () => {});
    await once(entry, 'connect');
    entry.pause();
    for (const path of ['huge', 'small'])
      entry.write(
        `POST /${path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nbarleyhaven-upstream: bookings\r\n` +
          `barleyhaven-exchange-id: 1\r\nbarleyhaven-claim: seats\r\nidempotency-key: ${path}\r\n` +
          'barleyhaven-remaining-ms: 25000\r\n\r\n',
      );
    await clock.sleepUntil(clock.now() + PROGRESS_TIMEOUT_MS + 1_000);
    entry.destroy();
    await guard[Symbol.asyncDispose]();
    await closeServer(guard.server);
    await closeServer(upstream);
    expect(uncaught.errors.map(String)).to.deep.equal([]);
  });
});

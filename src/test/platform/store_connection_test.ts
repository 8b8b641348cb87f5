import { once } from 'node:events';
import { createServer } from 'node:http';
import { type AddressInfo } from 'node:net';
import { expect } from 'chai';
import { CallMeter } from '../../platform/call_meter.js';
import { StoreConnection } from '../../platform/store_connection.js';
import { MachineClock } from '../../runtime/clock.js';
import { LOOPBACK } from '../../standins/listen.js';

/** More than the second for which idle connections are kept, and far less than before. */
const CLOSED_MS = 5_000;

describe('StoreConnection', () => {
  // Guards against a first read that waits for its whole timeout on a connection that was lost while idle.
  it('keeps an idle connection for a short time only', async () => {
    const clock = new MachineClock();
    const server = createServer((_, response) => response.end('{}'));
    server.keepAliveTimeout = 60_000;
    server.listen(0, LOOPBACK);
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const base = new URL(`http://${LOOPBACK}:${port}`);
    await using connection = new StoreConnection(base, clock, new CallMeter());
    const closed = new Promise<boolean>((resolve) => {
      server.on('connection', (socket) => socket.on('close', () => resolve(true)));
    });
    await connection.call({ method: 'GET', path: '/', deadline: clock.now() + CLOSED_MS });
    const ending = new AbortController();
    const late = clock.sleepUntil(clock.now() + CLOSED_MS, ending.signal).then(() => false);
    const isClosed = await Promise.race([closed, late]);
    ending.abort();
    server.closeAllConnections();
    server.close();
    expect(isClosed).to.equal(true);
  });
});

import { once } from 'node:events';
import { createServer } from 'node:http';
import { type AddressInfo, createServer as createRawServer, type Server } from 'node:net';
import { expect } from 'chai';
import { type OutcomeError } from '../../contracts.js';
import { bind } from '../../daemon/bind.js';
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

  // Guards against a call that waits until its deadline for the body of an answer that has none, and
  // against an answer that is read in another way than it was written.
  it('fails at once for an answer with a malformed head', async () => {
    const clock = new MachineClock();
    let answer = '';
    const server: Server = createRawServer((socket) => {
      socket.on('error', () => {}).on('data', () => socket.write(answer));
    });
    const port = await bind(server, LOOPBACK, 0);
    const base = new URL(`http://${LOOPBACK}:${port}`);
    await using connection = new StoreConnection(base, clock, new CallMeter());
    const endings: string[] = [];
    for (answer of [
      'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}',
      'HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n',
      'HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}',
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n',
    ]) {
      const deadline = clock.now() + 10 * CLOSED_MS;
      endings.push(
        await connection.call({ method: 'GET', path: '/', deadline }).then(
          ({ status, body }) => `${status} ${body}`,
          ({ verdict, message }: OutcomeError) => `${verdict} ${message}`,
        ),
      );
    }
    server.close();
    const failure = 'may-have-run platform GET failed: malformed HTTP response';
    expect(endings).to.deep.equal(['200 {}', failure, failure, failure]);
  });
});

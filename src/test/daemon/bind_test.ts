import { once } from 'node:events';
import { connect, createServer, type Server } from 'node:net';
import { expect } from 'chai';
import { bind, portOf } from '../../daemon/bind.js';
import { LOOPBACK } from '../../standins/listen.js';
import { takeFaults } from '../faults.js';

/** `-ENFILE`, as libuv reports it when the system has no descriptors left. */
const NO_DESCRIPTORS = -23;

interface ListeningHandle {
  readonly _handle: { onconnection(status: number): void };
}

/** Lets the server receive what libuv reports when a connection cannot be accepted. */
function failAccept(server: Server): void {
  // eslint-disable-next-line no-underscore-dangle -- no descriptor shortage can be provoked without root
  (server as unknown as ListeningHandle)._handle.onconnection(NO_DESCRIPTORS);
}

describe('bind', () => {
  // Guards against the end of the process, with all requests in flight, when it or its machine runs out of
  // descriptors or memory for one more connection.
  it('goes on serving after a connection that could not be accepted', async () => {
    const server = createServer((socket) => socket.end()).unref();
    const port = await bind(server, LOOPBACK, 0);
    failAccept(server);
    failAccept(server);
    expect(takeFaults().map(({ place, error }) => [place, String(error)])).to.deep.equal([
      ['accept', 'Error: accept ENFILE'],
      ['accept', 'Error: accept ENFILE'],
    ]);
    const socket = connect(port, LOOPBACK).resume();
    await once(socket, 'close');
    server.close();
  });

  it('rejects if the port is in use', async () => {
    const first = createServer().unref();
    await bind(first, LOOPBACK, 0);
    const error = await bind(createServer(), LOOPBACK, portOf(first)).catch(String);
    expect(error).to.contain('EADDRINUSE');
    first.close();
  });
});

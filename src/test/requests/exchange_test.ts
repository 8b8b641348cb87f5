import { createServer, type ServerResponse } from 'node:http';
import { expect } from 'chai';
import { type OutcomeError } from '../../contracts.js';
import { EmptyBody } from '../../requests/body.js';
import { ConnectionPool } from '../../requests/connection_pool.js';
import { Exchange } from '../../requests/exchange.js';
import { MachineClock } from '../../runtime/clock.js';
import { listen, LOOPBACK, closeServer } from '../../standins/listen.js';

const clock = new MachineClock();
const TIMEOUT_MS = 1_000;

/** A caller whose connection has ended before its response emits an event. */
function caller() {
  const socket = { destroyed: false, readableEnded: false };
  const response = { destroyed: false, req: { socket }, once: () => response };
  return { socket, response: response as unknown as ServerResponse };
}

describe('Exchange', () => {
  async function outcomeOf(leaves: 'before' | 'while it connects' | 'never') {
    let arrived = 0;
    const server = createServer((_, response) => {
      arrived += 1;
      response.end('done');
    });
    const port = await listen(server);
    const connections = new ConnectionPool(clock, 1);
    const { socket, response } = caller();
    socket.readableEnded = leaves === 'before';
    const exchange = new Exchange(
      {
        connections,
        host: LOOPBACK,
        port,
        method: 'GET',
        path: '/',
        headers: ['host', LOOPBACK],
        body: new EmptyBody('GET'),
        deadline: clock.now() + TIMEOUT_MS,
        isRepeatable: true,
        caller: response,
      },
      clock,
    );
    const answer = exchange.send().then(
      (head) => `answered ${head.statusCode}`,
      ({ verdict, reason }: OutcomeError) => `${verdict} ${reason}`,
    );
    // By now the request has its socket, which is not connected yet.
    await Promise.resolve().then(() => Promise.resolve());
    if (leaves === 'while it connects') socket.readableEnded = true;
    const outcome = await answer;
    connections.destroy();
    await closeServer(server);
    return [outcome, arrived];
  }

  // Guards against work for a caller who disconnected while its request waited for a connection.
  it('sends nothing for a caller who disconnected before the request could be written', async () => {
    expect(await outcomeOf('before')).to.deep.equal(['not-run cancelled', 0]);
    expect(await outcomeOf('while it connects')).to.deep.equal(['not-run cancelled', 0]);
    expect(await outcomeOf('never')).to.deep.equal(['answered 200', 1]);
  });
});

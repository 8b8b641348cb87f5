import { once } from 'node:events';
import { createServer, type IncomingMessage, request } from 'node:http';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect } from 'chai';
import { ConnectionPool } from '../../requests/connection_pool.js';
import { MachineClock } from '../../runtime/clock.js';
import { closeServer, listen, LOOPBACK } from '../../standins/listen.js';
import { UncaughtExceptions } from '../uncaught_exceptions.js';

describe('ConnectionPool', () => {
  // Guards against the end of the process by an error of a connection that goes back to the pool: Node has
  // taken its own listener off by then.
  it('survives the reset of a connection right after the end of a response', async () => {
    const server = createServer((_, response) => response.end('whole'));
    const port = await listen(server, 0);
    const pool = new ConnectionPool(new MachineClock(), 1);
    const outgoing = request({ agent: pool, host: LOOPBACK, port }).end();
    const [answer] = (await once(outgoing, 'response')) as [IncomingMessage];
    const { socket } = answer;
    answer.once('end', () => socket.destroy(new Error('reset')));
    using uncaught = new UncaughtExceptions();
    answer.resume();
    await once(answer, 'end');
    await nextTurn();
    expect(uncaught.errors).to.deep.equal([]);
    pool.destroy();
    await closeServer(server);
  });
});

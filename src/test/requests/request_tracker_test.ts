import { createServer, type ServerResponse } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { expect } from 'chai';
import { RequestTracker } from '../../requests/request_tracker.js';
import { MachineClock } from '../../runtime/clock.js';
import { listen, LOOPBACK } from '../../standins/listen.js';

const REQUEST = 'GET /menus HTTP/1.1\r\nhost: a\r\n\r\n';

describe('RequestTracker', () => {
  async function startShuttingDown() {
    const entered: boolean[] = [];
    const responses: ServerResponse[] = [];
    const server = createServer((_, response) => {
      entered.push(tracker.track(response));
      responses.push(response);
    });
    const tracker = new RequestTracker(server, new MachineClock());
    tracker.beginShutdown();
    await listen(server);
    const socket = connect((server.address() as AddressInfo).port, LOOPBACK);
    let received = '';
    socket.setEncoding('latin1').on('data', (chunk: string) => {
      received += chunk;
    });
    const until = async (isDone: () => boolean) => {
      while (!isDone()) await new Promise(setImmediate);
    };
    const closed = new Promise<string>((resolve) => {
      socket.once('close', () => {
        server.close();
        resolve(received);
      });
    });
    return { entered, responses, socket, until, closed, tracker };
  }

  // Guards against losing the second of two pipelined requests, which is running, when the process
  // shuts down and the first response closes the connection.
  it('closes a connection after its last response', async () => {
    const { entered, responses, socket, until, closed } = await startShuttingDown();
    socket.write(REQUEST + REQUEST);
    await until(() => responses.length === 2);
    responses.forEach((response, index) => response.end(`answer ${index}`));
    const received = await closed;
    expect(entered).to.deep.equal([true, true]);
    expect(received.match(/answer \d/g)).to.deep.equal(['answer 0', 'answer 1']);
    expect(received.match(/connection: \S+/gi)).to.deep.equal(['connection: close']);
    expect(received.indexOf('connection: close')).to.be.greaterThan(received.indexOf('answer 0'));
  });

  // Guards against running a request that arrives after the response before it has announced the end
  // of the connection: nobody would get its response, and its caller resends it elsewhere.
  it('rejects a request that follows the closing response of its connection', async () => {
    const { entered, responses, socket, until, closed, tracker } = await startShuttingDown();
    socket.write(REQUEST);
    await until(() => responses.length === 1);
    responses[0]!.writeHead(200);
    responses[0]!.write('begun');
    socket.write(REQUEST);
    await until(() => responses.length === 2);
    expect([entered, tracker.inFlight]).to.deep.equal([[true, false], 1]);
    responses[0]!.end();
    await closed;
  });

  // Guards against pipelined requests that count for ever once their caller has disconnected.
  it('stops counting all requests of a connection that closes', async () => {
    const { responses, socket, until, closed, tracker } = await startShuttingDown();
    const ended: number[] = [];
    socket.write(REQUEST.repeat(3));
    await until(() => responses.length === 3);
    responses.forEach((response, index) => response.once('close', () => ended.push(index)));
    socket.destroy();
    await closed;
    for (let turn = 0; turn < 50 && tracker.inFlight > 0; turn++) {
      await new Promise((resolve) => {
        setTimeout(resolve, 2);
      });
    }
    expect([tracker.inFlight, ended]).to.deep.equal([0, [0, 1, 2]]);
    // Code that still works on a request learns of the disconnect from its response.
    for (const response of responses) expect(response.destroyed).to.equal(true);
  });

  // Guards against work for a disconnected caller that goes on for several turns of a slow event loop.
  it('reports that a caller disconnected before its response closes', async () => {
    const { responses, socket, until, closed } = await startShuttingDown();
    socket.write(REQUEST + REQUEST);
    await until(() => responses.length === 2);
    const told: string[] = [];
    responses.forEach((response, index) => {
      response.once('gone', () => told.push(`gone ${index}`));
      response.once('close', () => told.push(`close ${index}`));
    });
    socket.end();
    await closed;
    await until(() => told.length === 4);
    expect(told.slice(0, 2)).to.deep.equal(['gone 0', 'gone 1']);
    expect(told.slice(2).sort()).to.deep.equal(['close 0', 'close 1']);
  });
});

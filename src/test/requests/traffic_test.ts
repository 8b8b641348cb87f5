import { createServer, type ServerResponse } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { expect } from 'chai';
import { Traffic } from '../../requests/traffic.js';
import { MachineClock } from '../../runtime/clock.js';
import { listen, LOOPBACK } from '../../standins/listen.js';

const REQUEST = 'GET /menus HTTP/1.1\r\nhost: a\r\n\r\n';

describe('Traffic', () => {
  async function leaving() {
    const entered: boolean[] = [];
    const responses: ServerResponse[] = [];
    const server = createServer((_, response) => {
      entered.push(traffic.enter(response));
      responses.push(response);
    });
    const traffic = new Traffic(server, new MachineClock());
    traffic.leave();
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
    return { entered, responses, socket, until, closed, traffic };
  }

  // A caller has sent two requests on one connection when the process is told to stop. Were the
  // first answer to end the connection, the second would be lost with its request running.
  it('ends a connection with the last of its answers', async () => {
    const { entered, responses, socket, until, closed } = await leaving();
    socket.write(REQUEST + REQUEST);
    await until(() => responses.length === 2);
    responses.forEach((response, index) => response.end(`answer ${index}`));
    const received = await closed;
    expect(entered).to.deep.equal([true, true]);
    expect(received.match(/answer \d/g)).to.deep.equal(['answer 0', 'answer 1']);
    expect(received.match(/connection: \S+/gi)).to.deep.equal(['connection: close']);
    expect(received.indexOf('connection: close')).to.be.greaterThan(received.indexOf('answer 0'));
  });

  // The request comes when the answer before it has already said that the connection ends. Nobody
  // will get its answer, so it must not run: the caller sends it again elsewhere.
  it('lets nothing run behind an answer that ends the connection', async () => {
    const { entered, responses, socket, until, closed, traffic } = await leaving();
    socket.write(REQUEST);
    await until(() => responses.length === 1);
    responses[0]!.writeHead(200);
    responses[0]!.write('begun');
    socket.write(REQUEST);
    await until(() => responses.length === 2);
    expect([entered, traffic.inFlight]).to.deep.equal([[true, false], 1]);
    responses[0]!.end();
    await closed;
  });

  // Guards against requests behind another on a connection counting for ever once their caller has gone.
  it('forgets all requests of a connection that ends', async () => {
    const { responses, socket, until, closed, traffic } = await leaving();
    const ended: number[] = [];
    socket.write(REQUEST.repeat(3));
    await until(() => responses.length === 3);
    responses.forEach((response, index) => response.once('close', () => ended.push(index)));
    socket.destroy();
    await closed;
    for (let turn = 0; turn < 50 && traffic.inFlight > 0; turn++) {
      await new Promise((resolve) => {
        setTimeout(resolve, 2);
      });
    }
    expect([traffic.inFlight, ended]).to.deep.equal([0, [0, 1, 2]]);
    // Whoever still works on one of them learns by its end that there is nobody to tell.
    for (const response of responses) expect(response.destroyed).to.equal(true);
  });

  // Guards against work that goes on for a caller who has left, turn after turn of a late process.
  it('tells that a caller has gone before the answer closes', async () => {
    const { responses, socket, until, closed } = await leaving();
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

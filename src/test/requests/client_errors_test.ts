import { once } from 'node:events';
import { connect } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect } from 'chai';
import { LOOPBACK } from '../../standins/listen.js';
import { TestPath } from './test_path.js';

const HOST = 'Host: suppers.example\r\n';
const POST = `POST /seats/1 HTTP/1.1\r\n${HOST}x-request: hostile\r\n`;

/** Raw requests of malicious or faulty callers. */
const REQUESTS: Readonly<Record<string, string>> = {
  'headers larger than allowed': `GET /menus HTTP/1.1\r\n${HOST}X: ${'x'.repeat(20_000)}\r\n\r\n`,
  'a body longer than allowed': `${POST}Content-Length: 99999999\r\n\r\n`,
  'a body longer than allowed, in chunks': `${POST}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n${`10000\r\n${'x'.repeat(0x10000)}\r\n`.repeat(17)}0\r\n\r\n`,
  'both length headers': `${POST}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'two lengths': `${POST}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd`,
  'a coding that is not chunked': `${POST}Transfer-Encoding: gzip\r\n\r\n`,
  'a malformed chunk': `${POST}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n`,
  'two hosts': `GET /menus HTTP/1.1\r\n${HOST}Host: other.example\r\n\r\n`,
  'no host': 'GET /menus HTTP/1.1\r\nConnection: close\r\n\r\n',
  'another host in the target': `GET http://other.example/menus HTTP/1.1\r\n${HOST}\r\n`,
  'a target that is no path': `OPTIONS * HTTP/1.1\r\n${HOST}Connection: close\r\n\r\n`,
  'dot segments': `GET /menus/%2e%2e/seats HTTP/1.1\r\n${HOST}Connection: close\r\n\r\n`,
  'a tunnel': `CONNECT other.example:443 HTTP/1.1\r\n${HOST}\r\n`,
  'an upgrade': `GET /menus HTTP/1.1\r\n${HOST}Connection: upgrade, close\r\nUpgrade: websocket\r\n\r\n`,
  'an unknown expectation': `GET /menus HTTP/1.1\r\n${HOST}Connection: close\r\nExpect: miracles\r\n\r\n`,
  'a malformed header': `GET /menus HTTP/1.1\r\n${HOST}X Y: 1\r\n\r\n`,
};

function parseResponse(answer: string) {
  const [head = '', body = ''] = answer.split('\r\n\r\n');
  const [status] = head.split('\r\n', 1);
  return { status, body: JSON.parse(body) as unknown };
}

/** Sends bytes, and resets the connection after some turns of the event loop. */
async function resetAfter(port: number, text: string, turns: number): Promise<void> {
  const socket = connect(port, LOOPBACK);
  socket.on('error', () => {});
  await once(socket, 'connect');
  socket.write(text);
  for (let turn = 0; turn < turns; turn++) await nextTurn();
  socket.resetAndDestroy();
}

describe('ClientErrors', () => {
  // Guards against request smuggling: input that the next hop could parse differently would give one
  // caller the response to another. Each gets its own status and a true verdict.
  for (const [name, text] of Object.entries(REQUESTS)) {
    it(`refuses ${name}`, async () => {
      await using path = await TestPath.start();
      const { status, body } = parseResponse(await path.raw(withConnectionClose(text)));
      expect(status).to.match(/^HTTP\/1.1 4\d\d /);
      // The upstream may have started before the chunks exceeded the limit.
      const verdict = name.includes('in chunks') ? 'may-have-run' : 'not-run';
      expect(body).to.have.property('verdict', verdict);
      expect({ status, body }).toMatchSnapshot();
      expect(path.runs('hostile')).to.equal(verdict === 'not-run' ? 0 : 1);
    });
  }

  // Guards against a refusal of malformed input being taken for the response to the request before it,
  // which is still running, with a false "not run".
  it('does not answer a running request with the refusal of malformed input after it', async () => {
    await using path = await TestPath.start();
    const first = `${POST}Content-Length: 1\r\nx-conduct: silent\r\n\r\nx`;
    const received = await path.raw(`${first}RUBBISH\r\n\r\n`);
    expect(received).to.equal('');
  });

  // Guards against the end of the process, with all that others have in flight, by a caller who asks for a
  // tunnel and resets the connection.
  it('survives a reset at any moment of a request for a tunnel', async () => {
    await using path = await TestPath.start();
    const others = Array.from({ length: 20 }, () => path.ask({ path: '/menus' }));
    for (let round = 0; round < 60; round++) {
      await resetAfter(path.port, REQUESTS['a tunnel']!, round % 3);
    }
    const statuses = (await Promise.all(others)).map(({ status }) => status);
    expect(new Set(statuses)).to.deep.equal(new Set([200]));
    expect((await path.ask({ path: '/menus' })).status).to.equal(200);
  });

  it('strips internal headers that a caller has forged', async () => {
    await using path = await TestPath.start();
    const headers = { 'Barleyhaven-Upstream': 'nobody', 'barleyhaven-remaining-ms': '0' };
    const { status } = await path.ask({ path: '/menus', headers });
    expect(status).to.equal(200);
  });

  it('does not ask for a body that it will refuse', async () => {
    await using path = await TestPath.start();
    const head = `${POST}Content-Length: 99999999\r\nExpect: 100-continue\r\n\r\n`;
    expect(await path.raw(withConnectionClose(head))).to.match(/^HTTP\/1.1 413 /);
  });

  it('asks for a body that it will take', async () => {
    await using path = await TestPath.start();
    const head = `${POST}Content-Length: 1\r\nExpect: 100-continue\r\n\r\nx`;
    expect(await path.raw(withConnectionClose(head))).to.match(
      /^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 /,
    );
  });
});

/** Adds `Connection: close`, unless there is a `Connection` header. */
function withConnectionClose(text: string): string {
  return text.includes('Connection:') ? text : text.replace('\r\n', '\r\nConnection: close\r\n');
}

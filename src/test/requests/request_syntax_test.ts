import { expect } from 'chai';
import { OperatorsPort, type ServedParts } from '../../daemon/operators_port.js';
import { createReadinessServer } from '../../platform/readiness_port.js';
import { createReportServer } from '../../platform/endpoint_reports.js';
import { Guard } from '../../requests/guard.js';
import { MachineClock } from '../../runtime/clock.js';
import { closeServer, listen } from '../../standins/listen.js';
import { sendRaw } from './send_raw.js';
import { TestPath } from './test_path.js';

const GET = 'GET /menus HTTP/1.1\r\nHost: a\r\nx-request: odd\r\n';
const POST = 'POST /seats/1 HTTP/1.1\r\nHost: a\r\nx-request: odd\r\n';
const CHUNKED = `${POST}Transfer-Encoding: chunked\r\n\r\n`;
/** The request behind each one; it is served if the connection stays. */
const NEXT = 'GET /menus HTTP/1.1\r\nHost: a\r\nx-request: next\r\nConnection: close\r\n\r\n';
const MANY_HEADERS = 'X:\r\n'.repeat(1_000);
/** More than is buffered of a body, so that it is streamed, with its trailers. */
const STREAMED_BYTES = 70_000;

const line = (text: string) => `${text}\r\nHost: a\r\nx-request: odd\r\n\r\n`;
const get = (headers: string) => `${GET}${headers}\r\n\r\n`;
const post = (headers: string, body = 'abc') => `${POST}${headers}\r\n\r\n${body}`;

const REQUESTS: Readonly<Record<string, string>> = {
  'a valid request': get('X-1: \xe9\t"a"'),
  'a space before the colon': get('X-Odd : 1'),
  'a tab before the colon': get('X-Odd\t: 1'),
  'a space in a name': get('X Odd: 1'),
  'no name': get(': 1'),
  'no colon': get('X-Odd'),
  'a separator in a name': get('X(Odd): 1'),
  'a control character in a name': get('X\x01: 1'),
  'a byte above ASCII in a name': get('X\xe9: 1'),
  'a space after Trailer': get('Trailer : x'),
  'a space after Host': 'GET /menus HTTP/1.1\r\nHost : a\r\n\r\n',
  'a second host with a space': get('Host : b'),
  'a second host': get('Host: b'),
  'no host': 'GET /menus HTTP/1.1\r\nx-request: odd\r\n\r\n',
  'no host, HTTP/1.0': 'GET /menus HTTP/1.0\r\nx-request: odd\r\n\r\n',
  'two names in a host': 'GET /menus HTTP/1.1\r\nHost: a b\r\nx-request: odd\r\n\r\n',
  'a path in a host': 'GET /menus HTTP/1.1\r\nHost: a/b\r\nx-request: odd\r\n\r\n',
  'a user in a host': 'GET /menus HTTP/1.1\r\nHost: u@a\r\nx-request: odd\r\n\r\n',
  'NUL in a value': get('X-Odd: a\0b'),
  'DEL in a value': get('X-Odd: a\x7fb'),
  'a carriage return in a value': get('X-Odd: a\rb'),
  'a folded value': get('X-Odd: a\r\n b'),
  'a folded length': post('Content-Length: 3\r\n 0'),
  'a fold behind the request line': 'GET /menus HTTP/1.1\r\n Host: a\r\n\r\n',
  'a length with a space': post('Content-Length : 3'),
  'an equal second length': post('Content-Length: 3\r\nContent-Length: 3'),
  'a list of lengths': post('Content-Length: 3, 3'),
  'a negative length': post('Content-Length: -3'),
  'a length with a sign': post('Content-Length: +3'),
  'a length beyond all numbers': post('Content-Length: 99999999999999999999999'),
  'an empty length': post('Content-Length:'),
  'a length before a coding': post('Content-Length: 3\r\nTransfer-Encoding: chunked', '0\r\n\r\n'),
  'a coding before a length': post('Transfer-Encoding: chunked\r\nContent-Length: 3', '0\r\n\r\n'),
  'a coding with a space': post('Transfer-Encoding : chunked', '0\r\n\r\n'),
  'a coding twice': post('Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked', '0\r\n\r\n'),
  'a coding before chunked': post('Transfer-Encoding: gzip, chunked', '0\r\n\r\n'),
  'a coding after chunked': post('Transfer-Encoding: chunked, gzip', '0\r\n\r\n'),
  'the coding identity': post('Transfer-Encoding: identity', ''),
  'a coding with a parameter': post('Transfer-Encoding: chunked;q=1', '0\r\n\r\n'),
  'an empty coding': post('Transfer-Encoding:', ''),
  'an empty coding in a list': post('Transfer-Encoding: ,chunked', '0\r\n\r\n'),
  'a coding in HTTP/1.0': `${CHUNKED.replace('1.1', '1.0')}0\r\n\r\n`,
  'a head as large as allowed': get(`X: ${'x'.repeat(16_200)}`),
  'more headers than Node keeps': `${POST}${MANY_HEADERS}Content-Length: 3\r\n\r\nabc`,
  'HTTP/0.9': line('GET /menus HTTP/0.9'),
  'no version': line('GET /menus'),
  'HTTP/1.2': line('GET /menus HTTP/1.2'),
  'HTTP/2.0': line('GET /menus HTTP/2.0'),
  'another protocol': line('DESCRIBE /menus RTSP/1.0'),
  'an unknown method': line('BREW /menus HTTP/1.1'),
  'a method in lower case': line('get /menus HTTP/1.1'),
  'a tab in the target': line('GET /menus/a\tb HTTP/1.1'),
  'a form feed in the target': line('GET /menus/a\fb HTTP/1.1'),
  'a space in the target': line('GET /menus/a b HTTP/1.1'),
  'a control character in the target': line('GET /menus/\x01 HTTP/1.1'),
  'a byte above ASCII in the target': line('GET /menus/\xe9 HTTP/1.1'),
};

const BODIES: Readonly<Record<string, string>> = {
  'a chunk extension': `${CHUNKED}3;a=b\r\nabc\r\n0\r\n\r\n`,
  'a chunk size with a sign': `${CHUNKED}+3\r\nabc\r\n0\r\n\r\n`,
  'a bare line feed in a chunk extension': `${CHUNKED}3;a\nabc\r\n0\r\n\r\n`,
};

/** Trailers behind a body that is buffered, and behind one that is streamed. */
const TRAILERS: Readonly<Record<string, string>> = {
  'a valid trailer': 'X-Sum: 1',
  'a space in the name of a trailer': 'X Sum: 1',
  'a space behind the name of a trailer': 'X-Sum : 1',
  'a length in trailers': 'Content-Length: 5',
};

/** Status, verdict and reason of each response to raw requests. */
function endingsOf(received: string): string[] {
  return received
    .split(/(?=HTTP\/1\.1 \d{3} )/)
    .filter((text) => text !== '')
    .map((text) =>
      [/ (\d{3}) /, /barleyhaven-verdict: (\S+)/, /barleyhaven-reason: (\S+)/]
        .map((pattern) => pattern.exec(text)?.[1] ?? '')
        .join(' ')
        .trim(),
    );
}

/** What the caller gets for both requests, and how often each has run. */
async function resultOf(path: TestPath, text: string): Promise<string> {
  const received = await sendRaw(path.port, text + NEXT, 'latin1');
  const answers = endingsOf(received).join(', ');
  return `${answers}; ran ${path.runs('odd')}, next ${path.runs('next')}`;
}

/** The odd heads that a port refuses before anything else, with a verdict, and closes the connection. */
async function refusedAt(port: number): Promise<string[]> {
  const refused: string[] = [];
  for (const [name, text] of Object.entries(REQUESTS)) {
    const endings = endingsOf(await sendRaw(port, text + NEXT, 'latin1'));
    const [only = ''] = endings;
    if (endings.length === 1 && /^4(00|31) not-run /.test(only)) refused.push(name);
  }
  return refused;
}

describe('syntax of requests', () => {
  // Guards against a head that the next hop reads in another way, by which requests are smuggled and
  // keys get past a check, and against refusals that tell a caller nothing about its request.
  it('decides what a caller gets for an odd head, and whether it runs', async () => {
    const results: Record<string, string> = {};
    for (const [name, text] of Object.entries({ ...REQUESTS, ...BODIES })) {
      await using path = await TestPath.start();
      results[name] = await resultOf(path, text);
    }
    expect(results).toMatchSnapshot();
  });

  // Guards against the end of the process by an error that nobody handles, when a trailer is sent on
  // that the parser accepts and the writer does not.
  it('decides what a caller gets for odd trailers', async () => {
    const results: Record<string, string> = {};
    for (const [name, trailer] of Object.entries(TRAILERS)) {
      for (const [body, bytes] of [
        ['buffered', 3],
        ['streamed', STREAMED_BYTES],
      ] as const) {
        await using path = await TestPath.start();
        const chunk = `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
        const result = await resultOf(path, `${CHUNKED}${chunk}0\r\n${trailer}\r\n\r\n`);
        // The endpoint may have begun with a request whose body is streamed.
        results[`${name}, ${body}`] = body === 'streamed' ? result.replace(/ran \d/, '') : result;
      }
    }
    expect(results).toMatchSnapshot();
  });

  // Guards against a refusal in the place of the answer to a request that is running.
  it('closes the connection of an odd head behind a request that is running', async () => {
    await using path = await TestPath.start();
    const first = `${POST}Content-Length: 1\r\nx-conduct: silent\r\n\r\nx`;
    expect(await resultOf(path, first + get('X Odd: 1'))).to.match(/^; ran [01], next 0$/);
  });

  // Guards against a refusal that the caller's system discards, as the connection was reset while the
  // caller still sent its body.
  it('lets a caller read the refusal of a head while it sends a large body', async () => {
    await using path = await TestPath.start();
    const body = 'x'.repeat(8 * 1024 * 1024);
    const text = `${POST}X-Odd : 1\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
    const refused = '400 not-run bad-request; ran 0, next 0';
    expect(await resultOf(path, text)).to.equal(refused);
  });

  // Guards against a port that takes what the others refuse.
  it('refuses the same heads at every port', async () => {
    const parts = { isReady: () => true } as unknown as ServedParts;
    await using guard = new Guard(new MachineClock());
    const handler = { take: () => {}, depart: () => {}, kept: () => Promise.resolve() };
    const servers = {
      guard: guard.server,
      operators: new OperatorsPort(parts).server,
      reports: createReportServer(() => 'bookings', handler),
      readiness: createReadinessServer(() => true),
    };
    await using path = await TestPath.start();
    const refused = await refusedAt(path.port);
    expect(refused).toMatchSnapshot();
    for (const [name, server] of Object.entries(servers)) {
      expect(await refusedAt(await listen(server)), name).to.deep.equal(refused);
      await closeServer(server);
    }
  });
});

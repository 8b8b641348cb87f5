import { expect } from 'chai';
import { RawEndpoint, readStrictly } from './raw_endpoint.js';
import { type Answer, type TestRequest, TestPath } from './test_path.js';

const MANY_HEADERS = 'X:\r\n'.repeat(1_000);
const OK = 'HTTP/1.1 200 OK\r\n';
const answer = (headers: string, body = '') => `${OK}${headers}\r\n\r\n${body}`;

const ANSWERS: Readonly<Record<string, string>> = {
  'a valid answer': answer('Content-Length: 2\r\nX-1: \xe9\t"a"', 'ok'),
  'no content': 'HTTP/1.1 204 No Content\r\n\r\n',
  'no content with a length': 'HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n',
  'no content with a length and a body': 'HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok',
  'no content in chunks': 'HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n',
  'not modified with a length': 'HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n',
  'not modified in chunks': 'HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n',
  'a head about to follow': `HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n${answer('Content-Length: 2', 'ok')}`,
  'a space in a name': answer('X Odd: 1\r\nContent-Length: 2', 'ok'),
  'a space before the colon': answer('X-Odd : 1\r\nContent-Length: 2', 'ok'),
  'no name': answer(': 1\r\nContent-Length: 2', 'ok'),
  'no colon': answer('X-Odd\r\nContent-Length: 2', 'ok'),
  'a control character in the reason': 'HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok',
  'NUL in a value': answer('X-Odd: a\0b\r\nContent-Length: 2', 'ok'),
  'a folded value': answer('X-Odd: a\r\n b\r\nContent-Length: 2', 'ok'),
  'a length with a space': answer('Content-Length : 2', 'ok'),
  'two lengths': answer('Content-Length: 2\r\nContent-Length: 3', 'ok'),
  'an equal second length': answer('Content-Length: 2\r\nContent-Length: 2', 'ok'),
  'a list of lengths': answer('Content-Length: 2, 2', 'ok'),
  'a negative length': answer('Content-Length: -2', 'ok'),
  'a length and a coding': answer('Content-Length: 2\r\nTransfer-Encoding: chunked', '0\r\n\r\n'),
  'a coding before chunked': answer('Transfer-Encoding: gzip, chunked', '0\r\n\r\n'),
  'the coding identity': answer('Transfer-Encoding: identity', 'ok'),
  'a coding in HTTP/1.0': 'HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
  'more headers than Node keeps': answer(`${MANY_HEADERS}Content-Length: 2`, 'ok'),
  'HTTP/0.9': 'HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nok',
  'HTTP/2.0': 'HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok',
  'a status below 100': 'HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok',
  'another protocol': 'RTSP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok',
  'a valid trailer': answer('Transfer-Encoding: chunked', '2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n'),
  'a length in trailers': answer(
    'Transfer-Encoding: chunked',
    '2\r\nok\r\n0\r\nContent-Length: 9\r\n\r\n',
  ),
  'a space in the name of a trailer': answer(
    'Transfer-Encoding: chunked',
    '2\r\nok\r\n0\r\nX Sum: 1\r\n\r\n',
  ),
};

function summaryOf({ status, headers, trailers, body }: Answer): string {
  const { 'barleyhaven-verdict': verdict, 'barleyhaven-reason': reason } = headers;
  if (reason !== undefined) return [status, verdict, reason].join(' ');
  const content = { body, length: headers['content-length'], trailers };
  return `${status} ${verdict?.toString()} ${JSON.stringify(content)}`;
}

/** What a caller gets of an answer, each time the endpoint gives it. */
async function relayedOf(text: string, request: TestRequest): Promise<string> {
  await using path = await TestPath.start();
  await using endpoint = await RawEndpoint.start(path, (received) =>
    readStrictly(received) ? text : undefined,
  );
  const ask = () => path.ask(request).then(summaryOf, () => 'cut');
  const seen = await ask();
  expect(await ask()).to.equal(seen);
  expect(endpoint.received).not.to.deep.equal([]);
  return seen;
}

describe('syntax of answers', () => {
  // Guards against answers that a caller reads in another way, that end a process, or that keep the
  // caller until its timeout.
  it('decides what a caller gets for an odd answer', async () => {
    const results: Record<string, string> = {};
    const request = { path: '/seats/1', method: 'POST', body: 'x' };
    for (const [name, text] of Object.entries(ANSWERS)) {
      results[name] = await relayedOf(text, request);
    }
    const length = answer('Content-Length: 2');
    results['a length for HEAD'] = await relayedOf(length, { path: '/menus', method: 'HEAD' });
    expect(results).toMatchSnapshot();
  });
});

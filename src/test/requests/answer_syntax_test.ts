import * as fc from 'fast-check';
import { expect } from 'chai';
import { mostly } from './mostly.js';
import { fieldOf, RawEndpoint, readStrictly } from './raw_endpoint.js';
import { sendRaw } from './send_raw.js';
import { type Answer, type TestRequest, TestPath } from './test_path.js';

/** `ANSWER_RUNS` and `ANSWER_SEED` set more runs and other seeds by hand. */
const { ANSWER_RUNS = '200', ANSWER_SEED = '21' } = process.env;
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

const BODY = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';
const CHUNKS = `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n`;
const field = fc
  .tuple(
    fc.oneof(
      fc.constantFrom('X-Odd', 'Host', 'Trailer', 'barleyhaven_verdict', 'Barleyhaven-Reason'),
      fc.string({ unit: 'binary-ascii', maxLength: 4 }).filter((text) => !/[\r\n]/.test(text)),
    ),
    mostly(': ', ' : ', '\t:', ':', '', ':\r\n '),
    fc.string({ unit: 'binary', maxLength: 8 }).filter((text) => !/[\r\n]/.test(text)),
    mostly('\r\n', '\n', '\r', '\r\n '),
  )
  .map((parts) => parts.join(''));

/** Answers as bytes; a body that looks like an answer shows where it is taken for one. */
const generated: fc.Arbitrary<string> = fc
  .tuple(
    fc.oneof(
      mostly(
        'HTTP/1.1 200 OK',
        'HTTP/1.0 200 OK',
        'HTTP/1.1 200',
        'HTTP/2.0 200 OK',
        'HTTP/0.9 200 OK',
      ),
      mostly('HTTP/1.1 204 No Content', 'HTTP/1.1 304 Not Modified', 'HTTP/1.1 200 O\x01K'),
    ),
    mostly(
      `Content-Length: ${BODY.length}\r\n`,
      ...['Transfer-Encoding: chunked\r\n', 'Transfer-Encoding: chunked\r\n'],
      ...['Transfer-Encoding : chunked\r\n', 'Transfer-Encoding: gzip, chunked\r\n'],
      ...[`Content-Length : ${BODY.length}\r\n`, 'Transfer-Encoding: identity\r\n'],
      `Content-Length: ${BODY.length}\r\nContent-Length: 0\r\n`,
      `Content-Length: ${BODY.length}\r\nTransfer-Encoding: chunked\r\n`,
    ),
    fc.array(field, { maxLength: 2 }),
    fc.array(field, { maxLength: 1 }),
  )
  .map(([line, framing, fields, trailers]) => {
    const isChunked = /transfer-encoding/i.test(framing);
    const body = isChunked ? `${CHUNKS}${trailers.join('')}\r\n` : BODY;
    return `${line}\r\n${fields.join('')}${framing}\r\n${body}`;
  });

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

const STATUS_LINE = /^HTTP\/1\.1 (\d{3}) [\t\x20-\x7e\x80-\xff]*$/;

/** Status and body of the only response, as a recipient reads it that tolerates nothing odd. */
function strictResponseOf(received: string): readonly [status: string, body: string] {
  if (received === '') return ['cut', ''];
  const end = received.indexOf('\r\n\r\n');
  const [line = '', ...fields] = received.slice(0, end).split('\r\n');
  const [, status] = STATUS_LINE.exec(line) ?? [];
  if (end < 0 || status === undefined) throw new Error(`not a response: ${received}`);
  // Framed as the body of a request is.
  const body = received.slice(end + 4);
  const names = fields.map(fieldOf).map(([name]) => name);
  expect(names.filter((name) => /^barleyhaven[^a-z]/.test(name))).to.satisfy((own: string[]) =>
    own.every((name) => ['barleyhaven-verdict', 'barleyhaven-reason'].includes(name)),
  );
  const framings = names.filter((name) => /^(content-length|transfer-encoding)$/.test(name));
  if (status === '204' || status === '304') {
    expect(body).to.equal('');
    if (status === '204') expect(framings).to.deep.equal([]);
    return [status, ''];
  }
  if (framings.length !== 1) throw new Error(`framed by ${framings.join()}`);
  const others = fields.filter((text) => !/^host:/i.test(text)).join('\r\n');
  const framed = `POST / HTTP/1.1\r\nhost: a\r\n${others}\r\n\r\n${body}`;
  const read = readStrictly(framed);
  return read ? [status, read.body] : ['cut', ''];
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

  // Guards against an answer that the next hop can read in another way, against one that is taken for
  // the answer to the next request, and against callers that wait for their timeout.
  it('reaches the caller in one reading only, or not at all', async () => {
    await using path = await TestPath.start();
    let text = '';
    await using endpoint = await RawEndpoint.start(path, (received) =>
      readStrictly(received) ? text : undefined,
    );
    const counts = new Map<string, number>();
    const property = fc.asyncProperty(generated, async (answered) => {
      text = answered;
      const caller = 'POST /seats/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n';
      const received = await sendRaw(path.port, `${caller}Connection: close\r\n\r\n`, 'latin1');
      const [status, body] = strictResponseOf(received);
      if (/^20[04]$/.test(status)) expect(body).to.equal(status === '200' ? BODY : '');
      else expect(status).to.be.oneOf(['304', '502', 'cut']);
      // The next answer comes on a connection without anything left of this one.
      text = ANSWERS['a valid answer']!;
      expect((await path.ask({ path: '/menus' })).body).to.equal('ok');
      counts.set(status, (counts.get(status) ?? 0) + 1);
    });
    await fc.assert(property, { seed: Number(ANSWER_SEED), numRuns: Number(ANSWER_RUNS) });
    expect(endpoint.received.length).to.be.greaterThan(0);
    expect([...counts.keys()]).to.include.members(['200', '204', '304', '502']);
  }).timeout(60_000 + 100 * Number(ANSWER_RUNS));
});

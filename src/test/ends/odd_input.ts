/** Generates input that callers, peers and upstream instances should not send. */
import { encode } from '@msgpack/msgpack';
import * as fc from 'fast-check';
import { type OddAnswer, PLAN_HEADER } from './odd_upstream.js';

/** A port of the process under test. */
export type PortName = 'callers' | 'guard' | 'link' | 'operators' | 'reports' | 'readiness';

export interface OddInput {
  readonly port: PortName;
  /** Written one after the other, a turn of the event loop apart. */
  readonly pieces: readonly Buffer[];
  readonly ending: 'stay' | 'end' | 'reset';
  /** How the upstream instance answers, if the input reaches it. */
  readonly answer: OddAnswer;
}

const CRLF = '\r\n';

/** Any characters of one byte, with those that often break parsers among them. */
const oddText = fc
  .array(
    fc.oneof(
      fc.integer({ min: 0, max: 255 }).map((code) => String.fromCharCode(code)),
      fc.constantFrom(' ', '\t', '\r\n', '\n', ':', ',', '%', '\0', '\x7f', 'é', '-', '0'),
    ),
    { maxLength: 12 },
  )
  .map((characters) => characters.join(''));

const number = fc.constantFrom('0', '1', '5', '-1', '1e9', '99999999999999999999', 'x', '', '0x3');

const headerName = fc.oneof(
  fc.constantFrom(
    'content-length',
    'transfer-encoding',
    'connection',
    'upgrade',
    'expect',
    'trailer',
    'keep-alive',
    'set-cookie',
    '__proto__',
    'constructor',
    'retry-after',
    'idempotency-key',
    'request-timeout-ms',
    'x-request-id',
    'authorization',
    'instance-rate-limit',
    'instance-leaving',
    'barleyhaven-upstream',
    'barleyhaven-exchange-id',
    'barleyhaven-remaining-ms',
    'barleyhaven-target-ms',
    'barleyhaven-priority',
    'barleyhaven-route',
    'barleyhaven-claim',
    'barleyhaven-limit',
    'barleyhaven-run',
    'barleyhaven-known-rate',
    'barleyhaven-known-leaving',
    'barleyhaven-verdict',
    'barleyhaven-reason',
    'barleyhaven-retried',
    'barleyhaven-repeatable',
    'date',
    'x',
  ),
  oddText,
);

const headerValue = fc.oneof(
  number,
  oddText,
  fc.constantFrom(
    'chunked',
    'gzip, chunked',
    'close',
    'keep-alive, x, set-cookie',
    'upgrade',
    'websocket',
    '100-continue',
    'bookings',
    '1',
    'a'.repeat(9_000),
  ),
);

const headers = fc
  .array(fc.tuple(headerName, headerValue), { maxLength: 6 })
  .map((lines) => lines.map(([name, value]) => `${name}: ${value}${CRLF}`).join(''));

const body = fc.oneof(
  fc.constant(''),
  oddText,
  fc.constantFrom(
    'x'.repeat(70_000),
    `3${CRLF}abc${CRLF}0${CRLF}${CRLF}`,
    `3${CRLF}abc${CRLF}0${CRLF}x: y${CRLF}set-cookie: a${CRLF}set-cookie: b${CRLF}${CRLF}`,
    `0${CRLF}__proto__: y${CRLF}barleyhaven-verdict: ran${CRLF}date: \x80${CRLF}${CRLF}`,
    `5;ext=é${CRLF}abcde${CRLF}0${CRLF}é: ü${CRLF}${CRLF}`,
    `ffffffffff${CRLF}`,
    `3${CRLF}abcd${CRLF}`,
  ),
);

const method = fc.oneof(
  { weight: 6, arbitrary: fc.constantFrom('GET', 'POST', 'PUT', 'DELETE') },
  fc.constantFrom('HEAD', 'OPTIONS', 'CONNECT', 'PRI', 'SOURCE', 'PURGE', 'get'),
  oddText,
);

const target = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.constantFrom('/menus', '/menus/1?a=%00', '/seats/1', '/short', '/rpc', '/'),
  },
  fc.constantFrom(
    '/announcement',
    '/version?above=x&wait=y',
    '/version?above=9&wait=99999999999',
    '/metrics',
    '/?call=instances.heartbeat&of=%ff',
    '/?call=instances.deregister&of=a',
    '*',
    '//',
    'http://a/menus',
    'http://[/',
    '/menus/\xe9\x7f',
    '/menus\t',
    'a:443',
  ),
  oddText.map((text) => `/menus/${text}`),
);

const lengthHeader = fc.constantFrom(
  '',
  '',
  `content-length: 3${CRLF}`,
  `content-length: 100000${CRLF}`,
  `transfer-encoding: chunked${CRLF}`,
);

/** A request whose answer the upstream instance finds under `name`. */
function request(name: string) {
  return fc
    .tuple(method, target, fc.constantFrom('1.1', '1.1', '1.1', '1.0', '2.0', '0.9'), headers)
    .chain(([verb, path, version, lines]) =>
      fc
        .tuple(lengthHeader, body, fc.constantFrom(`host: a${CRLF}`, ''), fc.boolean())
        .map(([length, content, host, isGuarded]) => {
          const internal = isGuarded
            ? `barleyhaven-upstream: bookings${CRLF}barleyhaven-route: menus${CRLF}`
            : '';
          const head = `${verb} ${path} HTTP/${version}${CRLF}${host}${internal}`;
          return `${head}${PLAN_HEADER}: ${name}${CRLF}${length}${lines}${CRLF}${content}`;
        }),
    );
}

const json = fc.oneof(
  fc.jsonValue().map((value) => JSON.stringify(value)),
  fc
    .record({
      upstream: fc.constantFrom('bookings', 'é', ''),
      state: fc.constantFrom('ready', 'draining', 'down', 'cold', 'x'),
      slots: fc.constantFrom(0, 1, -1, 1e9, 0.5),
      host: fc.constantFrom('127.0.0.1', '', 'x y', '::'),
      port: fc.constantFrom(-1, 0, 1, 65_536, 99_999),
      id: fc.constantFrom('a', 'é\u{1f600}', '\ud800', ''),
      sequence: fc.integer(),
    })
    .map((value) => JSON.stringify(value)),
  fc
    .record({
      service: fc.constantFrom('bookings', 'é'),
      address: fc.constantFrom('127.0.0.1:99999', '999.999.999.999:1', '127.0.0.1:65536', 'x'),
      slots: fc.constantFrom(1, 2 ** 40, -1),
      state: fc.constantFrom('ready', 'draining'),
      coldRemaining: fc.constantFrom('1s', '99999999999999s', '1'),
      sequence: fc.integer(),
    })
    .map((value) => JSON.stringify(value)),
  fc.constantFrom(
    '[]',
    '[null]',
    '{"jsonrpc":"2.0","id":1,"method":"fleet"}',
    '{"jsonrpc":"2.0","method":"status","params":7}',
    '{"jsonrpc":"2.0","id":{},"method":"__proto__"}',
  ),
);

const jsonRequest = fc
  .tuple(
    fc.constantFrom(
      '/rpc',
      '/announcement',
      '/version?above=-1',
      '/?call=instances.heartbeat&of=\xff',
      '/?call=instances.deregister&of=%F0%9F%98%80',
    ),
    json,
  )
  .map(
    ([path, text]) =>
      `POST ${path} HTTP/1.1${CRLF}host: a${CRLF}content-length: ${Buffer.byteLength(text)}${CRLF}${CRLF}${text}`,
  );

const METHOD_NAMES = [
  'hello',
  'hb',
  'push',
  'ahead',
  'pull',
  'gossip',
  'reconcile',
  'exchange',
  'recall',
  'drain',
  'confirm',
  'delegate',
  'reading',
  'rhb',
  'survey',
  'bulletin',
  'rollout',
  'quota',
  'toString',
  '',
] as const;

const DIGEST = '0'.repeat(64);

/** An introduction, after which notifications are handled. */
const hello = fc
  .tuple(fc.constantFrom('odd-1', 'odd-2', 'self'), fc.constantFrom(0, 1, 7, 2 ** 40))
  .map(([instance, version]) => ({
    jsonrpc: '2.0',
    id: 1,
    method: 'hello',
    params: {
      member: {
        instance,
        dataCentre: 'odd',
        host: '127.0.0.1',
        linkPort: 99_999,
        guardPort: 99_999,
        operatorsPort: 1,
        incarnation: 1,
        sequence: 0,
        liveness: 'alive',
      },
      version,
      digest: DIGEST,
      isReady: true,
    },
  }));

const params = fc.oneof(
  fc.jsonValue(),
  fc.constantFrom<unknown>(
    { after: 0 },
    { after: 2 ** 50, summary: [] },
    { after: 0, summary: [1, 2, 3] },
    { after: 0, page: { number: 1, offset: 999 } },
    { versions: [] },
    { version: 2 ** 50, isReady: true },
    { members: [] },
    { buckets: [] },
    { buckets: [1, 2, 3] },
    { members: [], wanted: ['x', '__proto__'] },
    { instance: '__proto__', incarnation: 0 },
    { withinMs: -1 },
    { forMs: 1e300 },
    { silentMs: -1e300 },
    { deaths: [], clearances: [] },
    [2 ** 50, 'zzzz', ''],
  ),
);

const message = fc.oneof(
  hello,
  fc
    .tuple(fc.constantFrom(...METHOD_NAMES), params, fc.constantFrom(undefined, 1, null, 'x'))
    .map(([name, given, id]) => ({
      jsonrpc: '2.0',
      method: name,
      params: given,
      ...(id !== undefined && { id }),
    })),
  fc.constantFrom<unknown>(
    null,
    [],
    [null],
    { jsonrpc: '2.0', id: 1, result: 1 },
    { jsonrpc: '2.0', id: 1, error: null },
    { jsonrpc: '2.0', id: null, error: { code: 1, message: 'x' } },
  ),
);

const frame = fc.oneof(
  { weight: 6, arbitrary: message.map((value) => framed(Buffer.from(encode(value)))) },
  oddText.map((text) => framed(Buffer.from(text, 'latin1'))),
  oddText.map((text) => Buffer.from(text, 'latin1')),
  fc.constant(Buffer.from([0xff, 0xff, 0xff, 0xff])),
);

const linkInput = fc
  .tuple(
    hello.map((value) => framed(Buffer.from(encode(value)))),
    fc.array(frame, { maxLength: 5 }),
  )
  .map(([first, rest]) => [first, ...rest]);

function framed(payload: Buffer): Buffer {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(payload.length);
  return Buffer.concat([header, payload]);
}

const status = fc.oneof(
  { weight: 4, arbitrary: fc.constantFrom('200 OK', '404 x', '500 x', '503 x', '204 x', '304 x') },
  fc.constantFrom(
    '099 x',
    '999 x',
    '100 Continue',
    '101 Switching',
    '102 x',
    '103 x',
    '000 x',
    '1',
  ),
  oddText,
);

const answerText = fc
  .tuple(
    fc.constantFrom(
      '',
      '',
      '',
      `HTTP/1.1 102 x${CRLF}${CRLF}`,
      `HTTP/1.1 100 x${CRLF}a: b${CRLF}${CRLF}`,
    ),
    fc.constantFrom('HTTP/1.1', 'HTTP/1.1', 'HTTP/1.1', 'HTTP/1.0', 'HTTP/9.9', 'ICY', ''),
    status,
    lengthHeader,
    headers,
    body,
  )
  .map(
    ([before, protocol, code, length, lines, content]) =>
      `${before}${protocol} ${code}${CRLF}${length}${lines}${CRLF}${content}`,
  );

const answer: fc.Arbitrary<OddAnswer> = fc.record({
  pieces: fc.oneof(answerText.chain(pieces), fc.array(oddText, { maxLength: 2 })),
  ending: fc.constantFrom('keep' as const, 'end' as const, 'reset' as const, 'endless' as const),
});

/** Cuts a text into up to three pieces. */
function pieces(text: string): fc.Arbitrary<readonly string[]> {
  return fc
    .tuple(fc.nat({ max: text.length }), fc.nat({ max: text.length }))
    .map(([one, other]) => {
      const [first, second] = one < other ? [one, other] : [other, one];
      return [text.slice(0, first), text.slice(first, second), text.slice(second)].filter(
        (piece) => piece !== '',
      );
    });
}

function cut(text: string): fc.Arbitrary<readonly Buffer[]> {
  return pieces(text).map((all) => all.map((piece) => Buffer.from(piece, 'latin1')));
}

/** One input with the answer that waits for it; `name` tells it from others. */
export function oddInput(name: string): fc.Arbitrary<OddInput> {
  const http = fc.oneof(
    { weight: 3, arbitrary: request(name).chain(cut) },
    fc.tuple(request(name), request(name)).chain(([one, other]) => cut(one + other)),
    jsonRequest.chain(cut),
    oddText.chain(cut),
  );
  const bytes = fc.oneof(
    {
      weight: 5,
      arbitrary: http.chain((all) =>
        fc
          .constantFrom<PortName>(
            'callers',
            'callers',
            'guard',
            'operators',
            'reports',
            'readiness',
          )
          .map((port) => ({ port, pieces: all })),
      ),
    },
    linkInput.map((all) => ({ port: 'link' as const, pieces: all })),
  );
  return fc
    .tuple(bytes, fc.constantFrom('stay' as const, 'end' as const, 'reset' as const), answer)
    .map(([input, ending, planned]) => ({ ...input, ending, answer: planned }));
}

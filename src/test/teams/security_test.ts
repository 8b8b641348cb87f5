import * as fc from 'fast-check';
import { expect } from 'chai';
import { RequestLog } from '../../logs/request_log.js';
import { sendRaw } from '../requests/send_raw.js';
import { MemoryLog } from '../logs/memory_log.js';
import { type Received, startWithTeams, teamOf, valueOf } from './team_path.js';

const SEED = 11;
const RUNS = 250;
const KEY = 'maj3nr26tta828m82thh';
const NEIGHBOUR_KEY = 'q!~"{}neighbour';
/** More than is buffered of a body, so that trailers are forwarded. */
const STREAMED_BYTES = 70_000;
const OVERLONG_BYTES = 64 * 1024;
/** Statuses of requests whose head was read as a whole; after others the connection ends. */
const READ = ['200', '401'];

interface Credentials {
  readonly name: string;
  readonly scheme: string;
  readonly space: string;
  readonly key: string;
}

interface GeneratedRequest {
  readonly path: '/menus/1' | '/open/1';
  readonly credentials: readonly Credentials[];
  readonly others: readonly string[];
  readonly body: 'none' | 'length' | 'chunked' | 'streamed';
  readonly trailers: readonly string[];
}

const credentials: fc.Arbitrary<Credentials> = fc.record({
  name: fc.constantFrom('Authorization', 'authorization', 'AUTHORIZATION', 'aUTHORIZATION'),
  scheme: fc.oneof(
    { weight: 4, arbitrary: fc.mixedCase(fc.constant('token')) },
    {
      weight: 1,
      arbitrary: fc.constantFrom('Bearer', 'Basic', 'Tokens', '', 'Token,', 'T\xf6ken'),
    },
  ),
  space: fc.oneof(
    { weight: 4, arbitrary: fc.nat(3).map((count) => ' '.repeat(count + 1)) },
    { weight: 1, arbitrary: fc.constantFrom('', '\t', ' \t', '\xa0', '\0', '=', '\r\n ') },
  ),
  key: fc.oneof(
    { weight: 4, arbitrary: fc.constant(KEY) },
    {
      weight: 2,
      arbitrary: fc.constantFrom(
        '',
        KEY.toUpperCase(),
        `${KEY}x`,
        KEY.slice(1),
        `${KEY}\xff`,
        `\xc3\xa9${KEY}`,
        `${KEY} ${KEY}`,
        `${KEY}, Token ${KEY}`,
        `${KEY}\0`,
        `"${KEY}"`,
        'k'.repeat(256),
        KEY.padEnd(257, 'k'),
        'k'.repeat(OVERLONG_BYTES),
      ),
    },
    { weight: 1, arbitrary: fc.string({ unit: 'binary-ascii', maxLength: 30 }) },
  ),
});

const other = fc.constantFrom(
  'Barleyhaven-Team: rana',
  'BARLEYHAVEN-TENANT: rana',
  'barleyhaven-priority: 9',
  `Proxy-Authorization: Token ${KEY}`,
  'Connection: authorization, barleyhaven-team',
  'Connection: keep-alive, x-sum',
  `X-Authorization: Token ${KEY}`,
  `X-Api-Key: ${KEY}`,
  `Cookie: Token ${KEY}`,
  `Authorization : Token ${KEY}`,
  `Authorization\0: Token ${KEY}`,
  'Trailer: Authorization',
  `X-Long: ${'x'.repeat(OVERLONG_BYTES)}`,
);

const trailer = fc.constantFrom(
  `Authorization: Token ${KEY}`,
  `aUTHORIZATION: Bearer ${KEY}`,
  'Barleyhaven-Team: rana',
  'barleyhaven-tenant: rana',
  'X-Sum: \xe9',
);

const generated: fc.Arbitrary<GeneratedRequest> = fc.record({
  path: fc.constantFrom('/menus/1', '/open/1'),
  credentials: fc.oneof(
    { weight: 4, arbitrary: fc.array(credentials, { minLength: 1, maxLength: 1 }) },
    { weight: 1, arbitrary: fc.array(credentials, { maxLength: 3 }) },
  ),
  others: fc.oneof(
    { weight: 2, arbitrary: fc.constant([]) },
    { weight: 1, arbitrary: fc.array(other, { maxLength: 2 }) },
  ),
  body: fc.constantFrom('none', 'length', 'chunked', 'streamed'),
  trailers: fc.array(trailer, { maxLength: 3 }),
});

/** The request as bytes, with its id, and behind it one of a neighbour that ends the connection. */
function textOf(id: number, request: GeneratedRequest): string {
  const { path, others, body, trailers } = request;
  const size = body === 'streamed' ? STREAMED_BYTES : 3;
  const isChunked = body === 'chunked' || body === 'streamed';
  const content = 'x'.repeat(size);
  const lines = [
    `POST ${path} HTTP/1.1`,
    'Host: a',
    `X-Request: r${id}`,
    ...request.credentials.map(
      ({ name, scheme, space, key }) => `${name}: ${scheme}${space}${key}`,
    ),
    ...others,
    ...(isChunked ? ['Transfer-Encoding: chunked'] : []),
    ...(body === 'length' ? [`Content-Length: ${size}`] : []),
  ];
  const end = trailers.map((line) => `${line}\r\n`).join('');
  const chunks = `${size.toString(16)}\r\n${content}\r\n0\r\n${end}\r\n`;
  const sent = isChunked ? chunks : content.slice(0, body === 'length' ? size : 0);
  const neighbour =
    `GET /menus/2 HTTP/1.1\r\nHost: a\r\nX-Request: n${id}\r\n` +
    `Authorization: Token ${NEIGHBOUR_KEY}\r\nConnection: close\r\n\r\n`;
  return `${lines.join('\r\n')}\r\n\r\n${sent}${neighbour}`;
}

/** Whether the only credentials are those of the team, read character by character. */
function isOfTeam({ credentials: sent }: GeneratedRequest): boolean {
  const [only] = sent;
  if (!only || sent.length > 1) return false;
  const { scheme, space, key } = only;
  const isSpaced = space.length > 0 && [...space].every((character) => character === ' ');
  // Servers drop white space around a value.
  return scheme.toLowerCase() === 'token' && isSpaced && key.trimEnd() === KEY;
}

function violationOf(
  request: GeneratedRequest,
  statuses: readonly string[],
  own: Received | undefined,
  neighbour: Received | undefined,
): string | undefined {
  const [status = 'none', next] = statuses;
  const isKnown = isOfTeam(request);
  if (own) {
    const team = valueOf(own, 'barleyhaven-team');
    if (team !== (isKnown ? 'pulo780' : undefined)) return `ran as team ${team}`;
    const names = [...own.headers.map(([name]) => name), ...Object.keys(own.trailers)];
    if (names.some((name) => /^(proxy-)?authorization$/.test(name))) return 'got credentials';
    if (names.includes('barleyhaven-tenant')) return 'got a forged team';
    if ('barleyhaven-team' in own.trailers) return 'got a forged team in a trailer';
  }
  if ((status === '200') !== (own !== undefined)) return `answered ${status}, which is not true`;
  if (!READ.includes(status)) return /^4(00|31)$/.test(status) ? undefined : `answered ${status}`;
  const isAdmitted = isKnown || request.path === '/open/1';
  if (isAdmitted !== (status === '200')) return `answered ${status}`;
  if (next !== '200' || !neighbour) return `the neighbour was answered ${next}`;
  const team = valueOf(neighbour, 'barleyhaven-team');
  return team === 'rana' ? undefined : `the neighbour ran as team ${team}`;
}

describe('keys in generated requests', () => {
  // Guards against a head that is read differently here and at the endpoint, keys and forged teams
  // that reach the endpoint, keys in answers and logs, and input that ends the process or affects
  // another request, of the same connection or of another one.
  it('never reach an endpoint or a log, and identify only who sends them', async () => {
    const teams = [teamOf('pulo780', [KEY]), teamOf('rana', [NEIGHBOUR_KEY])];
    const { path, received } = await startWithTeams(...teams);
    await using owned = path;
    const log = new MemoryLog();
    owned.entry.requestLog = new RequestLog(log, owned.clock);
    const counts = new Map<string, number>();
    let id = 0;
    const property = fc.asyncProperty(generated, async (request) => {
      id += 1;
      received.length = 0;
      const [answer, apart] = await Promise.all([
        sendRaw(owned.port, textOf(id, request), 'latin1'),
        owned.ask({ path: '/menus/3', headers: { authorization: `Token ${NEIGHBOUR_KEY}` } }),
      ]);
      const statuses = [...answer.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => status!);
      const of = (name: string) =>
        received.find((message) => valueOf(message, 'x-request') === `${name}${id}`);
      expect(violationOf(request, statuses, of('r'), of('n'))).to.equal(undefined);
      expect(apart.status).to.equal(200);
      expect(answer).not.to.include(KEY);
      const [status = 'none'] = statuses;
      counts.set(status, (counts.get(status) ?? 0) + 1);
    });
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
    expect(JSON.stringify(log)).not.to.match(new RegExp(KEY, 'i'));
    // All kinds of answers were met, so that the property says something about each.
    expect([...counts.keys()].sort()).to.deep.equal(['200', '400', '401', '431']);
  });
});

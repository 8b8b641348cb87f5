import { type IncomingMessage, validateHeaderValue } from 'node:http';
import { expect } from 'chai';
import fc from 'fast-check';
import { type Configuration } from '../../configuration/configuration.js';
import { Push, SnapshotPage } from '../../contracts.js';
import { SnapshotPager } from '../../distribution/pages.js';
import { Replica } from '../../distribution/replica.js';
import { MsgpackCodec } from '../../link/codec.js';
import { LongMessageCodec } from '../../link/long_message_codec.js';
import { MAX_FRAME_BYTES } from '../../link/tcp_link.js';
import { OperatorObjectDecoder } from '../../platform/operator_object.js';
import { nameHeader } from '../../requests/headers.js';
import { routeOf } from '../../requests/router.js';
import { tokenOf } from '../../teams/credentials.js';
import { TeamIndex } from '../../teams/team_index.js';

const SEED = 54;
const MAX_VALUE_BYTES = 1_048_576;
/** Route names of every object, so that a route can be sent to any of its services. */
const SERVICES = ['saldo', 'Status_Svc', 'x'.repeat(200)];

interface OperatorRoute {
  readonly host: string;
  readonly pathPrefix: string;
}

interface OperatorObject {
  readonly version: string;
  readonly routes: Readonly<Record<string, OperatorRoute>>;
  readonly tenants: Readonly<Record<string, { readonly apiKeys: readonly string[] }>>;
}

const name = fc.oneof(
  fc.stringMatching(/^[a-z0-9]{1,12}$/),
  fc.stringMatching(/^[A-Za-z_ .:/-]{1,100}$/),
  fc.string({ unit: 'grapheme', minLength: 1 }).filter((text) => /^[^\p{C}]+$/u.test(text)),
);
const duration = fc.oneof(
  fc.integer({ min: 1, max: 100_000_000 }).map((amount) => `${amount}ms`),
  fc.integer({ min: 1, max: 1_000_000 }).map((amount) => `${amount / 10}s`),
);
const service = fc.constantFrom(...SERVICES);
const segment = fc.stringMatching(/^[a-z0-9]{1,9}$/);
const pathPrefix = fc
  .array(segment, { maxLength: 300 })
  .map((segments) => ['', ...segments, ''].join('/'))
  .map((path) => (path === '/' ? '/a/' : path));
const target = fc.oneof(
  fc.record({ service }),
  fc.record({
    trafficSplit: fc.array(fc.record({ service, weight: fc.integer({ min: 0, max: 100_000 }) }), {
      minLength: 1,
      maxLength: 5,
    }),
  }),
);
const route = fc
  .tuple(
    fc.record({
      host: fc.oneof(
        segment.map((text) => `${text}.example`),
        fc.constant(`${'h'.repeat(300)}.example`),
      ),
      pathPrefix,
      kind: fc.constantFrom('safe', 'unsafe', 'download'),
      timeout: duration,
      targetLatency: duration,
      priority: fc.nat(1_000),
      maxAttempts: fc.integer({ min: 1, max: 1_000 }),
    }),
    target,
    fc.record({ public: fc.boolean() }, { requiredKeys: [] }),
  )
  .map((parts) => Object.assign({}, ...parts) as OperatorRoute);
const key = fc
  .string({ unit: 'grapheme', minLength: 1, maxLength: 400 })
  .filter((text) => /^[^\p{C}]+$/u.test(text) && text === text.trim());
const tenant = fc.record(
  {
    apiKeys: fc.oneof(
      fc.array(key, { maxLength: 3 }),
      fc.integer({ min: 65, max: 1_500 }).map((count) => keys(count)),
    ),
    priority: fc.nat(1_000),
    ratePerS: fc.integer({ min: 0, max: 1_000_000_000 }),
    burst: fc.integer({ min: 0, max: 1_000_000_000 }),
  },
  { requiredKeys: ['apiKeys'] },
);
const operatorObject: fc.Arbitrary<OperatorObject> = fc.record({
  version: fc.integer({ min: 1, max: 1_000_000 }).map((number) => `r${number}`),
  routes: fc.dictionary(name, route, { maxKeys: 8 }),
  services: fc.constant(
    Object.fromEntries(SERVICES.map((each) => [each, { healthPath: `/${'h'.repeat(2_000)}` }])),
  ),
  tenants: fc.dictionary(name, tenant, { maxKeys: 5 }),
  limits: fc.record({ maxBodyBytes: fc.integer({ min: 1, max: 2 ** 40 }) }),
});

function keys(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `key-${count}-${index}`);
}

const codec = new LongMessageCodec(new MsgpackCodec(), MAX_FRAME_BYTES);

function sent(message: unknown): unknown {
  return codec.decode(codec.encode(message));
}

/** A process that gets the version from the source. */
function reader({ number, resources }: ReturnType<OperatorObjectDecoder['decode']>): Replica {
  const replica = new Replica();
  replica.replace(number, resources, 0);
  return replica;
}

function receiverOfPush(from: Replica): Replica {
  const replica = new Replica();
  replica.apply(Push.parse(sent({ versions: from.since(0) })).versions, 'push');
  return replica;
}

function receiverOfPages(from: Replica): Replica {
  const pager = new SnapshotPager(from);
  const { number } = from.current;
  const pages: SnapshotPage[] = [];
  for (let offset = 0; offset < from.current.size; offset += pages.at(-1)!.resources.length) {
    pages.push(SnapshotPage.parse(sent(pager.page(number, offset, 0))));
  }
  const replica = new Replica();
  replica.install({ ...pages[0]!, resources: pages.flatMap(({ resources }) => resources) });
  return replica;
}

function expectServed(configuration: Configuration, { routes, tenants }: OperatorObject): void {
  const index = TeamIndex.of(configuration);
  for (const sentKey of Object.values(tenants).flatMap(({ apiKeys }) => apiKeys)) {
    const authorization = `Token ${nameHeader(sentKey)}`;
    const head = { headers: { authorization }, rawHeaders: ['Authorization', authorization] };
    expect(index.teamOf(tokenOf(head as IncomingMessage)!)).not.to.equal(undefined);
  }
  for (const { host, pathPrefix: path } of Object.values(routes)) {
    const found = routeOf(configuration, { method: 'GET', host, path: `${path}1`, headers: {} });
    expect(found?.pathPrefix).to.equal(path);
  }
  for (const resource of configuration.resources()) {
    validateHeaderValue('name', nameHeader(resource.name));
  }
}

describe('a version that the store has acknowledged', () => {
  // Guards against a limit of this product on one part of it, which would keep the whole version
  // and all later ones out of force.
  it('is applied by the process that reads it and by all that it is sent to', () => {
    fc.assert(
      fc.property(operatorObject, (object) => {
        const held = reader(new OperatorObjectDecoder().decode(JSON.stringify(object)));
        expect([held.refusal, `r${held.current.number}`]).to.deep.equal([
          undefined,
          object.version,
        ]);
        for (const replica of [receiverOfPush(held), receiverOfPages(held)]) {
          expect(replica.refusal).to.equal(undefined);
          expect(replica.current.digest).to.equal(held.current.digest);
          expectServed(replica.current, object);
        }
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  // Guards against a limit on the sum of all parts: the store bounds the object by its length only.
  for (const [what, tenants] of [
    ['a team with as many keys as fit', { large: { apiKeys: keys(70_000) } }],
    [
      'as many teams as fit',
      Object.fromEntries(keys(25_000).map((each) => [each, { apiKeys: [each] }])),
    ],
  ] as const) {
    it(`is applied with ${what}`, () => {
      const object = { version: 'r7', routes: {}, services: {}, tenants };
      const text = JSON.stringify(object);
      expect(text.length).to.be.within(MAX_VALUE_BYTES * 0.8, MAX_VALUE_BYTES * 1.3);
      const held = reader(new OperatorObjectDecoder().decode(text));
      expect(held.current.number).to.equal(7);
      expect(receiverOfPages(held).current.digest).to.equal(held.current.digest);
    });
  }

  it('serves a key that two teams list as the first of them by name, and one listed twice once', () => {
    const tenants = { rana: { apiKeys: ['both', 'own'] }, pulo: { apiKeys: ['both', 'x', 'x'] } };
    const object = { version: 'r7', routes: {}, services: {}, tenants };
    const held = reader(new OperatorObjectDecoder().decode(JSON.stringify(object)));
    const index = TeamIndex.of(held.current);
    const holders = ['both', 'own', 'x'].map((each) => index.teamOf(each)?.name);
    expect([holders, held.refusal]).to.deep.equal([['pulo', 'rana', 'pulo'], undefined]);
  });

  it('has figures beyond what a process can use bounded to what it can', () => {
    const odd = {
      host: 'a.example',
      pathPrefix: '/a/',
      kind: 'safe',
      timeout: '999999999s',
      targetLatency: '0.2ms',
      priority: 77,
      maxAttempts: 99,
      service: 'saldo',
    };
    const large = { apiKeys: [], ratePerS: 2_000_000, burst: 3_000_000 };
    const services = { saldo: {} };
    const object = { version: 'r7', routes: { odd }, services, tenants: { large } };
    expect(new OperatorObjectDecoder().decode(JSON.stringify(object))).toMatchSnapshot();
  });
});

import { expect } from 'chai';
import { Configuration } from '../../configuration/configuration.js';
import { digestOf } from '../../configuration/digest.js';
import { ReleaseNote, Resource } from '../../contracts.js';
import { OperatorObjectDecoder } from '../../platform/operator_object.js';
import { evaluate } from '../../source/evaluate.js';
import { ask, type TestRequest, TestPath } from '../requests/test_path.js';

/** Values computed by the release before teams, commit 80baf5f, with this file's functions. */
const BEFORE = {
  configuration: '4821a06fb6eef3ee816b29435aa5c60351837fb01acd1ff80e6211c7edf2d700',
  note: '6a8550ead741c9a4bf7f27fe10aa06f43f651dd26f112564622509eefb950f02',
  evaluation: '4e9d08b7897ca9ea9aa299cdb898309a61f8dc32d987002f4a6ad7a62f4ba056',
  object: 'e8dd9067a0ce3e1b655d32af077a772816065fa0e0ec176011cb93aa346aec97',
  wire: '3bdd93137cdabfd760880b7ddd214c9b028336cac112ab50aee88e04d43eb769',
};

const NOTE = {
  id: '2026-12-suppers',
  author: 'dana',
  add: {
    upstreams: [{ name: 'listings', about: 'menus', healthPath: '/healthz' }],
    limits: [{ name: 'standard', slots: 20 }],
    rules: [{ name: 'limited', requireLimit: true }],
    routes: [
      { name: 'menus', pathPrefix: '/menus', upstream: 'listings', limit: 'standard', priority: 3 },
    ],
  },
  withdraw: { routes: ['old'] },
};

const OBJECT = {
  version: 'r7',
  routes: {
    seats: {
      host: 'hulo84.example',
      pathPrefix: '/xapu221/',
      kind: 'unsafe',
      timeout: '1500ms',
      targetLatency: '0.8s',
      priority: 1,
      service: 'wuno96b',
      maxAttempts: 2,
    },
  },
  services: { wuno96b: { healthPath: '/healthz' } },
};

function configurationDigest(): string {
  const { add } = NOTE;
  const put = [
    ...add.upstreams.map((upstream) => ({ kind: 'upstream', ...upstream })),
    ...add.limits.map((limit) => ({ kind: 'limit', ...limit })),
    ...add.rules.map((rule) => ({ kind: 'rule', ...rule })),
    ...add.routes.map((route) => ({ kind: 'route', ...route })),
  ].map((resource) => Resource.parse(resource));
  return Configuration.empty.next({ put, remove: [] }).digest;
}

/** Digest of the heads that reach the guard and the endpoint, without what differs between runs. */
async function wireDigest(): Promise<string> {
  await using path = await TestPath.start();
  const [{ guard, upstream }] = path.endpoints as [(typeof path.endpoints)[0]];
  const heads: (readonly string[])[] = [];
  guard.server.prependListener('request', ({ rawHeaders }) => heads.push(rawHeaders));
  upstream.on('run', (_: string, { rawHeaders }: { rawHeaders: string[] }) =>
    heads.push(rawHeaders),
  );
  const headers = { host: 'a', authorization: 'Bearer abc', 'x-request': 'a' };
  const requests: TestRequest[] = [
    { path: '/menus/1', headers },
    { path: '/seats/1', method: 'POST', headers, body: 'seat 12' },
  ];
  for (const request of requests) await ask(path.port, request);
  const stable = heads.map((head) =>
    head.map((text, index) => (/-ms$/.test(head[index - 1] ?? '') ? 'MS' : text)),
  );
  return digestOf(stable);
}

describe('a configuration without teams', () => {
  // Guards against processes of two releases that hold the same version and compute different digests,
  // against a note that is accepted again after an update, and against a change of what is sent.
  it('has the digests, and sends the bytes, of the release before teams', async () => {
    const note = ReleaseNote.parse(NOTE);
    expect({
      configuration: configurationDigest(),
      note: digestOf(note),
      evaluation: digestOf(evaluate(note, Configuration.empty)),
      object: digestOf(new OperatorObjectDecoder().decode(JSON.stringify(OBJECT))),
      wire: await wireDigest(),
    }).to.deep.equal(BEFORE);
  });
});

import { expect } from 'chai';
import { Configuration } from '../../configuration/configuration.js';
import { type Problem } from '../../contracts.js';
import { UnreadableError } from '../../distribution/feed.js';
import { OperatorObjectDecoder } from '../../platform/operator_object.js';
import { TeamIndex } from '../../teams/team_index.js';

const ROUTES = {
  seats: {
    host: 'hulo84.example',
    pathPrefix: '/xapu221/ny95/',
    kind: 'unsafe',
    timeout: '1500ms',
    targetLatency: '0.8s',
    priority: 1,
    service: 'wuno96b',
    maxAttempts: 2,
  },
  menus: {
    host: 'jepu9.example',
    pathPrefix: '/lepu270/',
    kind: 'safe',
    timeout: '1200ms',
    targetLatency: '600ms',
    priority: 2,
    trafficSplit: [
      { service: 'huvo11a', weight: 90 },
      { service: 'wuno96b', weight: 10 },
    ],
    maxAttempts: 2,
  },
};

function objectOf(version: string, routes: object = ROUTES, tenants?: object): string {
  return JSON.stringify({
    version,
    routes,
    tenants,
    services: { huvo11a: { healthPath: '/healthz' }, wuno96b: { healthPath: '/healthz' } },
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000,
      headerTimeout: '3000ms',
      idleTimeout: '15s',
    },
    baseVersion: 'r5',
  });
}

describe('OperatorObjectDecoder', () => {
  it('decodes the operator’s object into resources', () => {
    expect(new OperatorObjectDecoder().decode(objectOf('r7'))).toMatchSnapshot();
  });

  it('decodes only the changed resources of a later version', () => {
    const decoder = new OperatorObjectDecoder();
    const before = decoder.decode(objectOf('r7')).resources;
    const menus = { ...ROUTES.menus, timeout: '900ms' };
    const after = decoder.decode(objectOf('r12', { ...ROUTES, menus })).resources;
    const kept = after.filter((resource) => before.includes(resource)).map(({ name }) => name);
    expect(kept.sort()).to.deep.equal(['huvo11a', 'seats', 'wuno96b']);
  });

  for (const [name, text] of [
    ['bytes that are no object', '{'],
    ['a version without its mark', objectOf('7')],
    ['a kind of route that is not known', objectOf('r7', { x: { ...ROUTES.seats, kind: 'odd' } })],
    ['a route without a service', objectOf('r7', { x: { ...ROUTES.seats, service: undefined } })],
  ] as const) {
    it(`rejects an object with ${name}`, () => {
      expect(() => new OperatorObjectDecoder().decode(text)).to.throw();
    });
  }

  describe('teams', () => {
    const KEY = 'maj3nr26tta828m82thh';
    const TENANTS = {
      pulo780: { apiKeys: [KEY], priority: 1, ratePerS: 441, burst: 441 },
      rana: { apiKeys: ['a', 'b'], priority: 12 },
      locked: { apiKeys: [] },
    };
    const open = { ...ROUTES.menus, public: true };

    it('decodes teams with the digests of their keys, and public routes', () => {
      const text = objectOf('r7', { open }, TENANTS);
      const { resources } = new OperatorObjectDecoder().decode(text);
      expect(resources.filter(({ name }) => name in TENANTS || name === 'open')).toMatchSnapshot();
      const index = TeamIndex.of(Configuration.of(7, '', resources));
      expect(index.teamOf(KEY)?.name).to.equal('pulo780');
    });

    // Guards against a version that changes one route and costs the digests of all keys, and the
    // index of them.
    it('keeps the teams that a version does not change, and their index', () => {
      const decoder = new OperatorObjectDecoder();
      const decode = (text: string) => decoder.decode(text).resources;
      const before = decode(objectOf('r7', ROUTES, TENANTS));
      const first = Configuration.empty.standalone({ put: [...before], remove: [] }, 7);
      const index = TeamIndex.of(first);
      const routed = decode(objectOf('r8', { open }, TENANTS));
      const second = first.standalone(first.changeTo(routed), 8);
      expect(TeamIndex.of(second)).to.equal(index);
      const rana = { ...TENANTS.rana, apiKeys: ['b'] };
      const changed = decode(objectOf('r9', { open }, { ...TENANTS, rana }));
      const third = second.standalone(second.changeTo(changed), 9);
      expect(TeamIndex.of(third).teamOf('a')).to.equal(undefined);
      expect(changed.filter((team) => before.includes(team)).map(({ name }) => name)).to.include(
        'pulo780',
      );
    });

    // Guards against a key in a log line or a status that shows why a version was refused.
    it('names the team and the field of an error, and quotes nothing', () => {
      const errorOf = (text: string): readonly Problem[] | string => {
        try {
          new OperatorObjectDecoder().decode(text);
          return 'decoded';
        } catch (error) {
          expect(`${String(error)} ${String((error as Error).cause)}`).not.to.match(/maj3/);
          return (error as UnreadableError).problems;
        }
      };
      const teams: unknown[] = [
        KEY,
        { apiKeys: KEY },
        { apiKeys: { [KEY]: KEY } },
        { apiKeys: [[KEY]] },
        { apiKeys: [KEY], priority: -1 },
        { apiKeys: [KEY], ratePerS: KEY },
        { apiKeys: [KEY], burst: -1 },
        { apiKeys: [KEY], burst: KEY },
      ];
      const texts = teams.map((team) => objectOf('r7', ROUTES, { pulo780: team }));
      const infinite = objectOf('r7', ROUTES, TENANTS).replace('441', '1e999');
      const cut = objectOf('r7', ROUTES, TENANTS).replace(/"maj3.*/, '"maj3nr26tta!');
      const wrong = objectOf('r7', ROUTES, TENANTS).replace('"maj3', 'maj3');
      const tables = [[KEY], KEY].map((tenants) => objectOf('r7', ROUTES, tenants as object));
      expect([...texts, infinite, cut, wrong, ...tables].map(errorOf)).toMatchSnapshot();
    });
  });
});

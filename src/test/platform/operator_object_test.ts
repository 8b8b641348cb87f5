import { expect } from 'chai';
import { OperatorObjectDecoder } from '../../platform/operator_object.js';

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

function objectOf(version: string, routes: object = ROUTES): string {
  return JSON.stringify({
    version,
    routes,
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
});

import { expect } from 'chai';
import { type Member } from '../../contracts.js';
import { renderFleet } from '../../tool/render_fleet.js';

const MEMBER: Member = {
  instance: 'arima-2',
  dataCentre: 'arima',
  host: '10.0.0.2',
  linkPort: 8082,
  guardPort: 8081,
  operatorsPort: 8083,
  incarnation: 1,
  sequence: 0,
  liveness: 'alive',
};

describe('renderFleet', () => {
  it('sorts the processes by data centre and name', () => {
    const endpoint = { upstream: 'listings', state: 'draining', slots: 20 } as const;
    const members = [
      { ...MEMBER, instance: 'san-fernando-1', dataCentre: 'san-fernando' },
      { ...MEMBER, endpoint },
      { ...MEMBER, instance: 'arima-1', liveness: 'suspect' as const },
    ];
    expect(renderFleet(members)).toMatchSnapshot();
  });
});

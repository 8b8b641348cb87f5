import { expect } from 'chai';
import { type Member } from '../../contracts.js';
import { hashOf } from '../../membership/member_record.js';
import { memberOf } from './member.js';

const ENDPOINT = { upstream: 'listings', state: 'ready', slots: 13 } as const;

describe('hashOf', () => {
  // Guards against differing rosters that compare as equal and so are never reconciled.
  it('differs with each field of a record', () => {
    const plain = memberOf('arima-1', { endpoint: ENDPOINT });
    const changes: readonly Partial<Member>[] = [
      { dataCentre: 'couva' },
      { host: '10.0.0.2' },
      { linkPort: 7010 },
      { guardPort: 7010 },
      { operatorsPort: 7010 },
      { incarnation: 2 },
      { sequence: 1 },
      { liveness: 'suspect' },
      { endpoint: { ...ENDPOINT, upstream: 'bookings' } },
      { endpoint: { ...ENDPOINT, state: 'draining' } },
      { endpoint: { ...ENDPOINT, slots: 12 } },
      { endpoint: undefined },
    ];
    const hashes = changes.map((change) => hashOf({ ...plain, ...change }));
    const all = [hashOf(plain), hashOf(memberOf('arima-2', { endpoint: ENDPOINT })), ...hashes];
    expect(new Set(all).size).to.equal(changes.length + 2);
  });

  // Guards against equal changes of several members that cancel out when their hashes are XORed.
  it('does not let the same change of two members cancel out', () => {
    const step = (instance: string) =>
      hashOf(memberOf(instance, { sequence: 4 })) ^ hashOf(memberOf(instance, { sequence: 5 }));
    const steps = Array.from({ length: 1_000 }, (_, index) => step(`arima-${index}`));
    expect(new Set(steps).size).to.equal(1_000);
  });
});

/** Member records for tests. */
import { type Member } from '../../contracts.js';

/** A default member record with `changes` applied. */
export function memberOf(instance: string, changes: Partial<Member> = {}): Member {
  return {
    instance,
    dataCentre: 'arima',
    host: '10.0.0.1',
    linkPort: 7000,
    guardPort: 7001,
    operatorsPort: 7002,
    incarnation: 1,
    sequence: 0,
    liveness: 'alive',
    ...changes,
  };
}

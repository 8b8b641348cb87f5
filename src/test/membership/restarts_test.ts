import { expect } from 'chai';
import { type Member } from '../../contracts.js';
import { Restarts } from '../../membership/restarts.js';
import { Roster } from '../../membership/roster.js';
import { memberOf } from './member.js';

describe('Restarts', () => {
  // Guards against ends that nobody learns of: a process that is killed or aborted writes no line.
  it('counts the starts of processes that had not announced that they leave', () => {
    const roster = new Roster(memberOf('arima-1'));
    const restarts = new Restarts(roster);
    const restarted: string[] = [];
    restarts.onUnannounced = ({ instance }) => restarted.push(instance);
    const record = (instance: string, incarnation: number, change: Partial<Member> = {}) =>
      roster.merge([{ ...memberOf(instance), incarnation, ...change }]);
    record('killed', 1_000);
    record('killed', 9_000);
    record('killed', 9_000, { sequence: 9, liveness: 'dead' });
    record('killed', 20_000);
    record('stopped', 1_000);
    record('stopped', 1_000, { sequence: 9, liveness: 'left' });
    record('stopped', 9_000);
    record('paused', 1_000, { liveness: 'dead' });
    record('paused', 1_001);
    record('registered', 1_000, { sequence: -1 });
    record('registered', 9_000);
    expect(restarted).to.deep.equal(['killed', 'killed']);
    expect(restarts.unannounced).to.equal(2);
  });
});

import { type IncomingMessage } from 'node:http';
import { expect } from 'chai';
import { KnownStatements } from '../../requests/known_statements.js';

const LOAD = { inFlight: 0, slots: 20, waiting: 0, heldMs: 1, leavingMs: 0 };
const LIMITED = { ...LOAD, rate: { perSecond: 15, waitMs: 0 } };
const answer = (headers: Record<string, string> = {}) =>
  ({ headers }) as unknown as IncomingMessage;

describe('KnownStatements', () => {
  const run = { 'barleyhaven-run': 'i-1,1' };
  const leaving = { ...run, 'barleyhaven-leaving': '1' };

  it('hands over a rate limit until an answer reports none', () => {
    const known = new KnownStatements();
    known.record('a', answer(run), LIMITED);
    expect(known.headersFor('a')).toMatchSnapshot();
    known.record('a', answer(), undefined);
    expect(known.headersFor('a')).to.have.length(4);
    known.record('a', answer(), LOAD);
    expect(known.headersFor('a')).to.deep.equal([]);
  });

  // Guards against a successor that has not heard of the leave, and whose first answers forget it.
  it('hands over that a run leaves, whatever is reported later', () => {
    const known = new KnownStatements();
    known.record('a', answer(leaving), LIMITED);
    known.record('a', answer(run), LIMITED);
    known.record('a', answer(), LOAD);
    expect(known.headersFor('a')).toMatchSnapshot();
    expect(known.headersFor('b')).to.deep.equal([]);
  });

  it('does not take another run for the one that leaves', () => {
    const known = new KnownStatements();
    known.record('a', answer(leaving), LOAD);
    known.record('a', answer({ 'barleyhaven-run': 'i-1,2' }), LIMITED);
    expect(known.headersFor('a')).to.not.include('barleyhaven-known-leaving');
  });
});

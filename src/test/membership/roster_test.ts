import { expect } from 'chai';
import fc from 'fast-check';
import { type Liveness, type Member } from '../../contracts.js';
import { Roster } from '../../membership/roster.js';
import { memberOf } from './member.js';

const SEED = 4;
const LIVENESS: Liveness[] = ['alive', 'suspect', 'dead', 'left'];

const statement = fc
  .record({
    instance: fc.constantFrom('b', 'c'),
    incarnation: fc.integer({ min: 1, max: 3 }),
    sequence: fc.integer({ min: 0, max: 2 }),
    liveness: fc.constantFrom(...LIVENESS),
    guardPort: fc.constantFrom(1, 2),
  })
  .map(({ instance, ...changes }) => memberOf(instance, changes));

function rosterAfter(...messages: readonly (readonly Member[])[]): Roster {
  const roster = new Roster(memberOf('a'));
  for (const message of messages) roster.merge(message);
  return roster;
}

function held(roster: Roster): Member[] {
  return roster.all().sort((a, b) => (a.instance < b.instance ? -1 : 1));
}

describe('Roster', () => {
  it('holds the same whatever the order, grouping and repetition of statements', () => {
    const property = fc.property(
      fc.array(statement, { maxLength: 12 }),
      fc.array(statement, { maxLength: 12 }),
      (one, other) => {
        const expected = rosterAfter(one, other);
        const mixed = [
          rosterAfter(other, one),
          rosterAfter([...one, ...other, ...one]),
          rosterAfter(...[...one, ...other].reverse().map((member) => [member])),
        ];
        for (const roster of mixed) {
          expect(held(roster)).to.deep.equal(held(expected));
          expect(roster.hash).to.equal(expected.hash);
          expect(roster.digest.buckets).to.deep.equal(expected.digest.buckets);
        }
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });

  it('is alive and newest to itself, whatever others say of it', () => {
    const about = statement.map((member) => ({ ...member, instance: 'a' }));
    const property = fc.property(fc.array(about, { maxLength: 12 }), (statements) => {
      const roster = rosterAfter(statements);
      expect(roster.self.liveness).to.equal('alive');
      const others = new Roster(memberOf('b'));
      others.merge(statements);
      others.merge([roster.self]);
      expect(others.get('a')).to.deep.equal(roster.self);
    });
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });

  // A process was paused, and its neighbours took it for dead. When it wakes it hears of that, and
  // its endpoint must get work again: its next incarnation overrides the death everywhere.
  it('refutes its own death after a pause', () => {
    const paused = new Roster(memberOf('paused', { sequence: 4 }));
    const neighbour = new Roster(memberOf('neighbour'));
    neighbour.merge([paused.self]);
    neighbour.mark('paused', 'suspect');
    neighbour.mark('paused', 'dead');
    const refutation = paused.merge([neighbour.get('paused')!]);
    neighbour.merge(refutation);
    expect(paused.refutations).to.equal(1);
    expect(neighbour.get('paused')).toMatchSnapshot();
  });

  // The clock of an instance ran an hour ahead, was corrected, and the process restarted: its
  // incarnation is below the one that all others hold. They would ignore all that it says, and
  // its endpoint would stay as the earlier life left it, so it goes above what it hears.
  it('goes above an earlier life whose clock ran ahead', () => {
    const others = new Roster(memberOf('b'));
    others.merge([memberOf('a', { incarnation: 3_600_000, sequence: 9, liveness: 'left' })]);
    const restarted = new Roster(memberOf('a', { incarnation: 5 }));
    restarted.merge([others.get('a')!]);
    others.merge([restarted.self]);
    expect(others.get('a')).toMatchSnapshot();
  });

  // A process stops. A delta of its endpoint from before is doubled and comes in last. Requests
  // would go to a closed port, so `left` stands until a new incarnation.
  it('keeps a departed process departed until its next incarnation', () => {
    const roster = rosterAfter([memberOf('b', { sequence: 3, liveness: 'left' })]);
    roster.merge([memberOf('b', { sequence: 7 })]);
    expect(roster.mark('b', 'suspect')).to.equal(false);
    expect(roster.get('b')!.liveness).to.equal('left');
    roster.merge([memberOf('b', { incarnation: 2 })]);
    expect(roster.get('b')!.liveness).to.equal('alive');
  });

  it('tells apart changes that move members from those of endpoints', () => {
    const roster = rosterAfter([memberOf('b')]);
    const { generation, topology } = roster;
    const endpoint = { upstream: 'listings', state: 'ready', slots: 20 } as const;
    roster.merge([memberOf('b', { sequence: 1, endpoint })]);
    expect(roster.generation).to.be.above(generation);
    expect(roster.topology).to.equal(topology);
    roster.mark('b', 'suspect');
    expect(roster.topology).to.be.above(topology);
  });
});

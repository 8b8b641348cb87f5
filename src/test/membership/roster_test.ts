import { expect } from 'chai';
import fc from 'fast-check';
import { type Liveness, type Member } from '../../contracts.js';
import { Roster } from '../../membership/roster.js';
import { memberOf } from './member.js';

const SEED = 4;
const LIVENESS: Liveness[] = ['alive', 'suspect', 'dead', 'left'];

const record = fc
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

function sortedRecords(roster: Roster): Member[] {
  return roster.all().sort((a, b) => (a.instance < b.instance ? -1 : 1));
}

describe('Roster', () => {
  it('holds the same whatever the order, grouping and repetition of records', () => {
    const property = fc.property(
      fc.array(record, { maxLength: 12 }),
      fc.array(record, { maxLength: 12 }),
      (one, other) => {
        const expected = rosterAfter(one, other);
        const mixed = [
          rosterAfter(other, one),
          rosterAfter([...one, ...other, ...one]),
          rosterAfter(...[...one, ...other].reverse().map((member) => [member])),
        ];
        for (const roster of mixed) {
          expect(sortedRecords(roster)).to.deep.equal(sortedRecords(expected));
          expect(roster.hash).to.equal(expected.hash);
          expect(roster.digest.buckets).to.deep.equal(expected.digest.buckets);
        }
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });

  it('refutes every record about itself that would override its own', () => {
    const about = record.map((member) => ({ ...member, instance: 'a' }));
    const property = fc.property(fc.array(about, { maxLength: 12 }), (records) => {
      const roster = rosterAfter(records);
      expect(roster.self.liveness).to.equal('alive');
      const others = new Roster(memberOf('b'));
      others.merge(records);
      others.merge([roster.self]);
      expect(others.get('a')).to.deep.equal(roster.self);
    });
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });

  // Guards against an endpoint that gets no work after its process was paused and declared dead:
  // the next incarnation overrides the death everywhere.
  it('refutes its own death after a pause', () => {
    const paused = new Roster(memberOf('paused', { sequence: 4 }));
    const neighbour = new Roster(memberOf('neighbour'));
    neighbour.merge([paused.self]);
    neighbour.setLiveness('paused', 'suspect');
    neighbour.setLiveness('paused', 'dead');
    const refutation = paused.merge([neighbour.get('paused')!]);
    neighbour.merge(refutation);
    expect(paused.refutations).to.equal(1);
    expect(neighbour.get('paused')).toMatchSnapshot();
  });

  // Guards against a process that all others ignore: its clock ran an hour ahead before a restart,
  // so its new incarnation is below the one they hold.
  it('raises its incarnation above that of an earlier run whose clock ran ahead', () => {
    const others = new Roster(memberOf('b'));
    others.merge([memberOf('a', { incarnation: 3_600_000, sequence: 9, liveness: 'left' })]);
    const restarted = new Roster(memberOf('a', { incarnation: 5 }));
    restarted.merge([others.get('a')!]);
    others.merge([restarted.self]);
    expect(others.get('a')).toMatchSnapshot();
  });

  // Guards against requests to a closed port: an endpoint update from before the stop is duplicated
  // and arrives last.
  it('does not revive a departed process before its next incarnation', () => {
    const roster = rosterAfter([memberOf('b', { sequence: 3, liveness: 'left' })]);
    roster.merge([memberOf('b', { sequence: 7 })]);
    expect(roster.setLiveness('b', 'suspect')).to.equal(false);
    expect(roster.get('b')!.liveness).to.equal('left');
    roster.merge([memberOf('b', { incarnation: 2 })]);
    expect(roster.get('b')!.liveness).to.equal('alive');
  });

  it('changes the topology for liveness but not for endpoints', () => {
    const roster = rosterAfter([memberOf('b')]);
    const { generation, topology } = roster;
    const endpoint = { upstream: 'listings', state: 'ready', slots: 20 } as const;
    roster.merge([memberOf('b', { sequence: 1, endpoint })]);
    expect(roster.generation).to.be.above(generation);
    expect(roster.topology).to.equal(topology);
    roster.setLiveness('b', 'suspect');
    expect(roster.topology).to.be.above(topology);
  });
});

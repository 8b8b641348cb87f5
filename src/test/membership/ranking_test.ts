import { expect } from 'chai';
import fc from 'fast-check';
import { type Member } from '../../contracts.js';
import { Ranking } from '../../membership/ranking.js';
import { Roster } from '../../membership/roster.js';
import { memberOf } from './member.js';

const SEED = 4;
const FANOUT = 3;
const DATA_CENTRES = ['arima', 'couva'];

function fleetOf(size: number) {
  return Array.from({ length: size }, (_, index) =>
    memberOf(`i${index}`, { dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]! }),
  );
}

function rankingsOf(size: number): Ranking[] {
  const members = fleetOf(size);
  return members.map((self) => rankingOf(self, members));
}

function rankingOf(self: Member, members: readonly Member[]): Ranking {
  const roster = new Roster(self);
  roster.merge(members);
  return new Ranking(roster, FANOUT);
}

describe('Ranking', () => {
  it('gives every member but the roots one parent that counts it as a child', () => {
    const property = fc.property(fc.integer({ min: 1, max: 40 }), (size) => {
      const rankings = rankingsOf(size);
      const children = rankings.flatMap((ranking) => ranking.children);
      const parents = rankings.filter((ranking) => ranking.parent);
      const roots = rankings.filter((ranking) => ranking.isRoot);
      expect(new Set(children.map(({ instance }) => instance)).size).to.equal(parents.length);
      expect(roots.length).to.equal(Math.min(size, DATA_CENTRES.length));
      expect(parents.length + roots.length).to.equal(size);
    });
    fc.assert(property, { seed: SEED, numRuns: 40 });
  });

  it('needs a link exactly if one end is a neighbour of the other', () => {
    const members = fleetOf(24);
    const rankings = rankingsOf(24);
    const wants = (from: number, to: number) =>
      rankings[from]!.neighbours.some(({ instance }) => instance === members[to]!.instance);
    for (let from = 0; from < members.length; from++) {
      for (let to = 0; to < members.length; to++) {
        if (from === to) continue;
        const needed = rankings[from]!.needsLink(members[to]!.instance);
        expect(needed, `${from}-${to}`).to.equal(wants(from, to) || wants(to, from));
      }
    }
  });

  // Guards against a data centre without a reader for as long as paused ones are not declared dead.
  it('passes over suspects when it names the readers', () => {
    const members = Array.from({ length: 6 }, (_, index) => memberOf(`i${index}`));
    const ranked = rankingOf(members[0]!, members).ranked('arima');
    const roster = new Roster(ranked.at(-1)!);
    roster.merge(members);
    const ranking = new Ranking(roster, FANOUT);
    const readers = () => ranking.readers('arima').map(({ instance }) => instance);
    const expected = (count: number) => ranked.slice(0, count).map(({ instance }) => instance);
    expect(readers()).to.deep.equal(expected(2));
    roster.setLiveness(ranked[1]!.instance, 'suspect');
    expect(readers()).to.deep.equal(expected(3));
    for (const { instance } of ranked.slice(2, 5)) roster.setLiveness(instance, 'suspect');
    expect([readers(), ranking.isReader]).to.deep.equal([expected(6), true]);
  });

  // Guards against detecting failures one after another when 63 of 64 processes die at once, each
  // together with all of its monitors.
  it('doubles the monitored members with each round of suspects', () => {
    const members = Array.from({ length: 64 }, (_, index) => memberOf(`i${index}`));
    const roster = new Roster(members[0]!);
    roster.merge(members);
    const ranking = new Ranking(roster, FANOUT);
    const rounds: number[] = [];
    while (roster.counts.suspect < 63 && rounds.length < 63) {
      const { neighbours } = ranking;
      for (const { instance } of neighbours) roster.setLiveness(instance, 'suspect');
      rounds.push(roster.counts.suspect);
    }
    expect(rounds).toMatchSnapshot();
    expect(rounds.length).to.be.below(10);
  });
});

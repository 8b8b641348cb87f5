import { expect } from 'chai';
import { READERS_PER_DATA_CENTRE, Ranking } from '../../membership/ranking.js';
import { PROMPT } from '../../membership/pace.js';
import { Roster } from '../../membership/roster.js';
import { ReaderRole } from '../../distribution/reader_role.js';
import { FakeTime } from '../fake_time.js';
import { memberOf } from '../membership/member.js';

const DATA_CENTRES = ['arima', 'chaguanas', 'couva'];
const MEMBERS_PER_DATA_CENTRE = 4;
const FANOUT = 8;
const STEP_MS = 50;
const PERIOD_MS = PROMPT.watchTimeoutMs;
/** Time in which a data centre by itself has to notice that the source is silent, in milliseconds. */
const GOAL_MS = 1_500;

const MEMBERS = DATA_CENTRES.flatMap((dataCentre) =>
  Array.from({ length: MEMBERS_PER_DATA_CENTRE }, (_, index) =>
    memberOf(`${dataCentre}-${index}`, { dataCentre }),
  ),
);

/** Times from now at which the watches of each data centre's readers end. */
function watchesIn(time: FakeTime, suspectRank?: number): number[][] {
  return DATA_CENTRES.map((dataCentre) => {
    const [first] = MEMBERS;
    const ranked = new Ranking(rosterOf(first!.instance), FANOUT).ranked(dataCentre);
    const suspect = suspectRank === undefined ? undefined : ranked[suspectRank]!.instance;
    const rankings = ranked
      .filter(({ instance }) => instance !== suspect)
      .map(({ instance }) => new Ranking(rosterOf(instance, suspect), FANOUT));
    return rankings
      .filter((ranking) => ranking.isReader)
      .map((ranking) => new ReaderRole(ranking, time.clock).nextWatchDeadline(PERIOD_MS))
      .map((deadline) => Math.round(deadline - time.clock.now()));
  });
}

/** Times in the period at which they end. */
function watchEnds(suspectRank?: number): number[][] {
  using time = new FakeTime();
  return watchesIn(time, suspectRank);
}

function rosterOf(instance: string, suspect?: string): Roster {
  const roster = new Roster(MEMBERS.find((member) => member.instance === instance)!);
  roster.merge(MEMBERS);
  if (suspect !== undefined) roster.setLiveness(suspect, 'suspect');
  return roster;
}

/** The longest time without an end of a watch. */
function longestGap(ends: readonly number[]): number {
  const sorted = ends.map((end) => end % PERIOD_MS).sort((a, b) => a - b);
  const next = [...sorted.slice(1), sorted[0]! + PERIOD_MS];
  return Math.max(...sorted.map((end, index) => next[index]! - end));
}

describe('the watches of readers', () => {
  // Guards against a data centre that hears no other one and notices a silent source only after a period.
  for (const suspectRank of [undefined, 0, 1]) {
    const which =
      suspectRank === undefined ? 'all are trusted' : `rank ${suspectRank} is a suspect`;
    it(`end far apart within a data centre if ${which}`, () => {
      const longest = watchEnds(suspectRank).map(longestGap);
      expect(Math.max(...longest)).to.be.at.most(GOAL_MS);
    });
  }

  // Guards against a source that goes silent right after a version, when all watches begin anew.
  it('end soon in each data centre whenever they begin', async () => {
    using time = new FakeTime();
    const first: number[] = [];
    for (let passed = 0; passed < PERIOD_MS; passed += STEP_MS) {
      await time.advance(STEP_MS);
      first.push(...watchesIn(time).map((watches) => Math.min(...watches)));
    }
    expect(Math.max(...first)).to.be.at.most(GOAL_MS);
  });

  // Guards against a fleet that notices a silent source later than its number of readers allows.
  it('are spread evenly over those of all data centres', () => {
    const readers = DATA_CENTRES.length * READERS_PER_DATA_CENTRE;
    expect(longestGap(watchEnds().flat())).to.be.closeTo(PERIOD_MS / readers, 1);
  });
});

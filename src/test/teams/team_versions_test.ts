import { expect } from 'chai';
import { Configuration } from '../../configuration/configuration.js';
import { type Change, Resource, type Team, type Version } from '../../contracts.js';
import { Replica } from '../../distribution/replica.js';
import { TeamIndex } from '../../teams/team_index.js';
import { keyDigest } from '../../teams/key_digest.js';
import { brief, Fixture, note } from '../source/fixture.js';
import { teamOf } from './team_path.js';

const KEY = 'maj3nr26tta828m82thh';
const pulo = teamOf('pulo780', [KEY]);

function versionAfter({ current }: Replica, change: Change): Version {
  const { number, digest } = current.next(change);
  return { number, parent: current.digest, digest, note: 'note', acceptedAt: 0, change };
}

function holderOf(replica: Replica): string | undefined {
  return TeamIndex.of(replica.current).teamOf(KEY)?.name;
}

function withoutKind({ kind, ...fields }: Team): Omit<Team, 'kind'> {
  return fields;
}

describe('versions with teams', () => {
  // Guards against a version of which one part is in force, and against a key of two teams.
  it('are refused as a whole if two teams share a key, and the one before stays', () => {
    const replica = new Replica();
    replica.apply([versionAfter(replica, { put: [pulo], remove: [] })]);
    const upstream = Resource.parse({ kind: 'upstream', name: 'seats' });
    const shared = { put: [upstream, teamOf('rana', ['other', KEY])], remove: [] };
    expect(replica.apply([versionAfter(replica, shared)])).to.equal(false);
    expect(replica.refusal).toMatchSnapshot();
    expect([replica.current.number, replica.current.size, holderOf(replica)]).to.deep.equal([
      1,
      1,
      'pulo780',
    ]);
    const moved = { put: [teamOf('pulo780', ['new']), ...shared.put], remove: [] };
    expect(replica.apply([versionAfter(replica, moved)])).to.equal(true);
    expect(holderOf(replica)).to.equal('rana');
  });

  it('come from release notes, which add, change and withdraw teams', async () => {
    using fixture = new Fixture();
    const source = fixture.source();
    const submit = (id: string, content: object) =>
      source.submit(note(id, content), fixture.deadline);
    const team = withoutKind(pulo);
    const rana = withoutKind(teamOf('rana', [KEY]));
    const outcomes = [
      await submit('first', { add: { teams: [team] } }),
      await submit('again', { add: { teams: [team] } }),
      await submit('shared', { add: { teams: [rana] } }),
      await submit('moved', {
        add: { teams: [rana] },
        change: { teams: [{ ...team, keyDigests: [keyDigest('new')], priority: 9 }] },
      }),
      await submit('last', { withdraw: { teams: ['pulo780', 'rana'] } }),
      await submit('gone', { withdraw: { teams: ['rana'] } }),
    ];
    expect(outcomes.map(brief)).toMatchSnapshot();
    const [, second] = await fixture.records();
    expect(second!.version.change).toMatchSnapshot();
  });

  // Guards against an index of 10,000 keys that is built for each of 520 changes a day.
  it('use the index of the version before unless they change teams', () => {
    const first = Configuration.empty.next({ put: [pulo], remove: [] });
    const index = TeamIndex.of(first);
    const upstream = Resource.parse({ kind: 'upstream', name: 'seats' });
    const second = first.next({ put: [upstream], remove: [] }).next({ put: [], remove: [] });
    expect(TeamIndex.of(second)).to.equal(index);
    const third = second.next({ put: [teamOf('pulo780', ['new'])], remove: [] });
    expect(TeamIndex.of(third).teamOf(KEY)).to.equal(undefined);
    const none = third.next({ put: [], remove: ['team/pulo780'] });
    expect([TeamIndex.of(none).hasTeams, index.teamOf(KEY)]).to.deep.equal([false, pulo]);
  });
});

import { expect } from 'chai';
import { Configuration } from '../../configuration/configuration.js';
import { Resource } from '../../contracts.js';
import { teamsOf } from '../../daemon/teams.js';
import { renderTeams } from '../../tool/render_teams.js';

const KEY_DIGESTS = ['ab'.repeat(32), 'cd'.repeat(32)];
const USE = { admitted: 900, refused: 12, demandPerS: 41.25, tokens: 9, offlinePerS: 7.35 };
const TEAMS = [
  { name: 'globex', keyDigests: [], requestsPerSecond: 3 },
  { name: 'acme', keyDigests: KEY_DIGESTS, priority: 8, requestsPerSecond: 441, burst: 441 },
  { name: 'initech', keyDigests: KEY_DIGESTS, requestsPerSecond: 0, burst: 5 },
].map((team) => Resource.parse({ kind: 'team', ...team }));

describe('renderTeams', () => {
  // Guards against digests of keys in what operators see.
  it('shows the teams of the configuration by name, with the use of this process', () => {
    const current = Configuration.of(1, '', TEAMS);
    const usage = [{ team: 'acme', ...USE, isInContact: true }];
    const teams = teamsOf({ current }, { usage });
    expect(renderTeams(teams)).toMatchSnapshot();
    expect(JSON.stringify(teams)).not.to.include('abab');
    expect(renderTeams([])).to.equal('no teams in the configuration: callers need no keys');
  });
});

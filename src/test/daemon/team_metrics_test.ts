import { expect } from 'chai';
import { Configuration } from '../../configuration/configuration.js';
import { Resource } from '../../contracts.js';
import { TeamMetrics } from '../../daemon/team_metrics.js';
import { TeamRequests } from '../../daemon/team_requests.js';
import { type TeamUsage } from '../../quota/quota.js';

const KEY_DIGEST = 'ab'.repeat(32);
const USE = { admitted: 4, refused: 1, demandPerS: 5, tokens: 2, offlinePerS: 7.5 };
const SERVED = { verdict: 'ran', reason: 'none', status: 200, tookMs: 1 } as const;

const teams = (...names: string[]) =>
  names.map((name) => Resource.parse({ kind: 'team', name, keyDigests: [KEY_DIGEST] }));

/** The metrics of a process whose configuration can be replaced. */
class Fixture {
  readonly replica = { current: Configuration.empty, onApplied: () => {} };

  readonly requests = new TeamRequests(this.replica);

  usage: TeamUsage[] = [];

  readonly #metrics = new TeamMetrics(this.replica, this.requests, this);

  text(...names: string[]): Promise<string> {
    this.replica.current = Configuration.of(1, '', teams(...names));
    return this.#metrics.text();
  }
}

describe('TeamMetrics', () => {
  it('counts requests by team and result, and exports the use of quotas', async () => {
    const fixture = new Fixture();
    fixture.usage = [
      { team: 'acme', ...USE, isInContact: true },
      { team: 'globex', ...USE, isInContact: false },
    ];
    const { requests } = fixture;
    requests.add({ ...SERVED, team: 'acme' });
    requests.add({ ...SERVED, team: 'acme', status: 503 });
    requests.add({ ...SERVED, team: 'acme', verdict: 'not-run', reason: 'quota', status: 429 });
    requests.add({ ...SERVED, team: 'acme', verdict: 'not-run', reason: 'shed', status: 503 });
    requests.add({ ...SERVED, verdict: 'not-run', reason: 'unauthorized', status: 401 });
    requests.add(SERVED);
    const text = await fixture.text('acme', 'globex');
    expect(text).toMatchSnapshot();
    expect(text).not.to.include(KEY_DIGEST.slice(0, 8));
  });

  // Guards against deployments without teams seeing new series, and against labels that grow with
  // all teams that ever existed: requests may end after their team was removed.
  it('exports only teams of the configuration in force, and nothing without teams', async () => {
    const fixture = new Fixture();
    expect(await fixture.text()).to.equal('');
    fixture.usage = [{ team: 'gone', ...USE, isInContact: false }];
    fixture.requests.add({ ...SERVED, team: 'gone' });
    const text = await fixture.text('acme');
    expect(text).not.to.include('gone');
    expect(text).to.include('barleyhaven_quota_in_contact 1');
    expect(await fixture.text()).to.equal('');
  });
});

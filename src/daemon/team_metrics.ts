/** Metrics of teams and their quotas, exported only while the configuration has teams. */
import { type Replica } from '../distribution/replica.js';
import { type Quota, type TeamUsage } from '../quota/quota.js';
import { Gauges } from './gauges.js';
import { type TeamRequests } from './team_requests.js';

export class TeamMetrics {
  readonly #gauges = new Gauges();

  constructor(
    private readonly replica: Pick<Replica, 'current'>,
    private readonly requests: TeamRequests,
    private readonly quota: Pick<Quota, 'usage'>,
  ) {
    this.#countRequests();
    this.#byTeam('team_tokens', 'Tokens held', ({ tokens }) => tokens);
    this.#byTeam(
      'team_offline_rate',
      'Requests per second that may pass here without contact to other processes',
      ({ offlinePerS }) => offlinePerS,
    );
    this.#gauges.add(
      'quota_in_contact',
      '1 while the process that tokens come from answers, for all teams with a limit',
      () => Number(this.#usage().every(({ isInContact }) => isInContact)),
    );
  }

  /** Empty without teams. */
  async text(): Promise<string> {
    const [team] = this.replica.current.all('team');
    return team ? this.#gauges.text() : '';
  }

  #countRequests(): void {
    this.#gauges.addLabelled(
      'team_requests',
      'Requests ended since the start, by team and result; unauthorized ones have no team',
      ['team', 'result'],
      (gauge) => {
        gauge.reset();
        gauge.set({ result: 'unauthorized' }, this.requests.unauthorized);
        for (const [team, counts] of this.requests.byTeam) {
          for (const [result, count] of Object.entries(counts)) gauge.set({ team, result }, count);
        }
      },
    );
  }

  #byTeam(name: string, help: string, value: (usage: TeamUsage) => number): void {
    this.#gauges.addLabelled(name, help, ['team'], (gauge) => {
      gauge.reset();
      for (const usage of this.#usage()) gauge.set({ team: usage.team }, value(usage));
    });
  }

  /** The use of teams that the configuration in force has. */
  #usage(): readonly TeamUsage[] {
    const { current } = this.replica;
    return this.quota.usage.filter(({ team }) => current.find('team', team) !== undefined);
  }
}

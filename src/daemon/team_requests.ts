/** Counts the requests that ended at the entry by team and result. */
import { type Replica } from '../distribution/replica.js';
import { isServed, type RequestEnd } from '../logs/request_log.js';

/**
 * - `served`: the caller got a complete response that is not a 5xx.
 * - `quota`: refused because the team was at its quota.
 * - `refused`: certainly not run, for another reason.
 * - `failed`: anything else.
 */
export type TeamResult = 'served' | 'quota' | 'refused' | 'failed';

export type TeamCounts = Readonly<Record<TeamResult, number>>;

export class TeamRequests {
  readonly #counts = new Map<string, Record<TeamResult, number>>();

  /** Requests without the key that their route needs. They belong to no team. */
  unauthorized = 0;

  constructor(private readonly replica: Pick<Replica, 'current' | 'onApplied'>) {
    replica.onApplied(() => this.#forgetRemoved());
  }

  /** Counts by name, of the teams of the configuration in force only: the number of labels is bounded. */
  get byTeam(): ReadonlyMap<string, TeamCounts> {
    this.#forgetRemoved();
    return this.#counts;
  }

  add({ team, verdict, reason, status }: RequestEnd): void {
    if (team !== undefined) {
      this.#countsOf(team)[resultOf({ verdict, reason, status })] += 1;
    } else if (reason === 'unauthorized') this.unauthorized += 1;
  }

  #countsOf(team: string): Record<TeamResult, number> {
    let counts = this.#counts.get(team);
    if (!counts) {
      counts = { served: 0, quota: 0, refused: 0, failed: 0 };
      this.#counts.set(team, counts);
    }
    return counts;
  }

  /** A request may end after its team was removed, so this runs on each reading, too. */
  #forgetRemoved(): void {
    for (const team of this.#counts.keys()) {
      if (!this.replica.current.find('team', team)) this.#counts.delete(team);
    }
  }
}

function resultOf(ended: Pick<RequestEnd, 'verdict' | 'reason' | 'status'>): TeamResult {
  if (isServed(ended)) return 'served';
  if (ended.verdict !== 'not-run') return 'failed';
  return ended.reason === 'quota' ? 'quota' : 'refused';
}

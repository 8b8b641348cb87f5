/** Logs and counts the requests that end at the entry and at the guard of a process. */
import { type Replica } from '../distribution/replica.js';
import { type Log } from '../logs/log.js';
import { RequestLog } from '../logs/request_log.js';
import { Tally } from '../logs/tally.js';
import { type Clock } from '../runtime/clock.js';
import { EndedRequests } from './ended_requests.js';
import { TeamRequests } from './team_requests.js';

export class RequestRecords {
  readonly endedAtEntry = new EndedRequests('entry');

  readonly endedAtGuard = new EndedRequests('guard');

  readonly byTeam: TeamRequests;

  readonly entryLog: RequestLog;

  readonly guardLog: RequestLog;

  readonly #tally: Tally;

  constructor(log: Log, clock: Clock, replica: Replica) {
    this.byTeam = new TeamRequests(replica);
    this.#tally = new Tally(log, clock);
    this.entryLog = new RequestLog(log, clock, (ended) => {
      this.endedAtEntry.add(ended);
      this.byTeam.add(ended);
      this.#tally.add(ended);
    });
    this.guardLog = new RequestLog(log, clock, (ended) => this.endedAtGuard.add(ended));
  }

  /** Requests of which no lines were written. */
  get leftOut(): number {
    return this.entryLog.leftOut + this.guardLog.leftOut;
  }

  /** Logs, as the process ends, the counts that are not logged yet and each request that is cut. */
  logEnd(): void {
    this.#tally.flush();
    this.entryLog.writeUnfinished('entry');
    this.guardLog.writeUnfinished('guard');
  }
}

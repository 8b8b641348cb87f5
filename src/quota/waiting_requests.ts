/** Requests that wait for a token of the parent. */
import { type Clock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { type TeamPool } from './team_pool.js';

interface Waiting {
  readonly pool: TeamPool;
  readonly finish: (isServed: boolean) => void;
  /** Whether a report has asked for it. */
  isSent: boolean;
}

export class WaitingRequests {
  readonly #waiting = new Set<Waiting>();

  constructor(private readonly clock: Clock) {}

  /** Whether a request waits that no report has asked for. */
  get hasUnsent(): boolean {
    for (const { isSent } of this.#waiting) if (!isSent) return true;
    return false;
  }

  /** Resolves to whether the request got a token, at the deadline at the latest. */
  add(pool: TeamPool, deadline: number): Promise<boolean> {
    return new Promise((resolve) => {
      const ended = new AbortController();
      const waiting: Waiting = {
        pool,
        isSent: false,
        finish: (isServed) => {
          this.#waiting.delete(waiting);
          ended.abort();
          resolve(isServed);
        },
      };
      this.#waiting.add(waiting);
      const waited = this.clock.sleepUntil(deadline, ended.signal);
      runInBackground(
        'quota wait',
        waited.then(() => waiting.finish(false)),
      );
    });
  }

  /** Number of waiting requests by team, for a report that is being sent. */
  send(): Map<TeamPool, number> {
    const counts = new Map<TeamPool, number>();
    for (const waiting of this.#waiting) {
      waiting.isSent = true;
      counts.set(waiting.pool, (counts.get(waiting.pool) ?? 0) + 1);
    }
    return counts;
  }

  /** Lets requests pass for which there is a token, and ends the wait for teams without any. */
  serve(spend: (pool: TeamPool) => boolean, isExhausted: (pool: TeamPool) => boolean): void {
    for (const { pool, finish, isSent } of this.#waiting) {
      if (spend(pool)) finish(true);
      else if (isSent && isExhausted(pool)) finish(false);
    }
  }
}

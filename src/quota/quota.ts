/** The quota of a team, which all processes share. */
import { type Team } from '../contracts.js';

/** Decides whether a team may send one more request. */
export abstract class Quota {
  /**
   * Counts a request of the team. Throws an `OutcomeError` of reason `quota` that says when to retry,
   * at once if the team is known to be at its limit. Returns a promise only if it has to ask another
   * process whether the team may send; otherwise it decides in memory.
   */
  abstract take(team: Team): Promise<void> | undefined;

  /** Gives back what `take` counted, for a request that certainly was not run. */
  abstract refund(team: Team): void;

  /** What teams with a limit have used through this process. */
  abstract get usage(): readonly TeamUsage[];
}

/** The use of a team's quota through one process. */
export interface TeamUsage {
  readonly team: string;
  /** Requests that were let pass since the start of the process. */
  readonly admitted: number;
  /** Requests that were refused since the start of the process. */
  readonly refused: number;
  /** Requests a second that callers ask for here, refused ones included. */
  readonly demandPerS: number;
  /** Requests that may pass without asking another process. */
  readonly tokens: number;
  /** Requests a second that this process may let pass while it is out of contact with the others. */
  readonly offlinePerS: number;
  /** Whether the process that tokens come from has answered lately. */
  readonly isInContact: boolean;
}

/** Lets every request pass. */
export class UnlimitedQuota extends Quota {
  readonly usage: readonly TeamUsage[] = [];

  take(): undefined {
    return undefined;
  }

  refund(): void {}
}

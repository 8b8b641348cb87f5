/** The roles of an upstream's endpoints in a rollout, by the version that they report. */

/**
 * - `stable`: takes requests.
 * - `trial`: takes the share of first attempts that the trial of its version has.
 * - `held`: held back; takes requests only if the upstream has no `stable` endpoint.
 * - `shut`: takes no requests.
 */
export type Role = 'stable' | 'trial' | 'held' | 'shut';

/** What the endpoints on trial get at present. */
export interface TrialShare {
  /** Share of first attempts, 0 to 1. */
  readonly share: number;
  /** Number of endpoints that take it at a time. */
  readonly count: number;
  /** Number of the turn: in each turn the next `count` endpoints take the share. */
  readonly turn: number;
}

export abstract class VersionRoles {
  /** Increases when the role of any endpoint may have changed. */
  abstract get generation(): number;

  abstract roleOf(upstream: string, version: string | undefined): Role;

  /** What the version on trial gets, given the number of `stable` endpoints of the upstream. */
  abstract trialShare(upstream: string, stable: number, now: number): TrialShare;
}

/** Gives all endpoints the role `stable`, whatever version they report. */
export class AllStable extends VersionRoles {
  readonly generation = 0;

  roleOf(): Role {
    return 'stable';
  }

  trialShare(): TrialShare {
    return { share: 0, count: 0, turn: 0 };
  }
}

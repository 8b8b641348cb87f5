/** Which endpoints of an upstream take part in what, by the version that they report. */

/**
 * - `stable`: takes requests.
 * - `trial`: takes the share that the trial of its version has.
 * - `held`: takes requests only where no other endpoint could.
 * - `shut`: takes none.
 */
export type Role = 'stable' | 'trial' | 'held' | 'shut';

/** What the endpoints on trial get at an instant. */
export interface TrialShare {
  /** Share of the first attempts, 0 to 1. */
  readonly share: number;
  /** How many of them take it. */
  readonly count: number;
  /** Where among them the counting begins. */
  readonly turn: number;
}

export abstract class Cohorts {
  /** Rises when any endpoint's role may have changed. */
  abstract get generation(): number;

  abstract roleOf(upstream: string, version: string | undefined): Role;

  /** What the trial of an upstream's next version gets, beside `stable` endpoints. */
  abstract trialShare(upstream: string, stable: number, now: number): TrialShare;
}

/** All endpoints are alike, whatever version they report. */
export class OneCohort extends Cohorts {
  readonly generation = 0;

  roleOf(): Role {
    return 'stable';
  }

  trialShare(): TrialShare {
    return { share: 0, count: 0, turn: 0 };
  }
}

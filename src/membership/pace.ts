/** How soon a process that starts looks for others, and at what cost in calls to the platform. */
export interface Pace {
  /** How long a process that finds nobody waits before it takes itself for the only one, in ms. */
  readonly acquaintMs: number;
  /** How long the rosters of the first peers take to come in, in milliseconds. */
  readonly rosterMs: number;
  /** First window in which a process without links reads the directory, in milliseconds. */
  readonly lookupWindowMs: number;
  /** First look of a root at its registration; as much again is jitter, in milliseconds. */
  readonly firstLookMs: number;
  /** Pace of its later looks, in milliseconds. */
  readonly lookEveryMs: number;
  /** Calls to the platform for membership by one process, per second. */
  readonly callsPerSecond: number;
  /** Cap of the jittered wait between two looks whether the process may be ready, in milliseconds. */
  readonly readinessMs: number;
  /** How long one watch on the source waits; one gone silent costs this long at most, in ms. */
  readonly watchMs: number;
  /** Whether a process that starts reads the source itself, and takes neighbours' word for it. */
  readonly isEager: boolean;
}

/** For fleets that start over minutes, beside a platform whose calls are scarce. */
export const STEADY: Pace = {
  acquaintMs: 500,
  rosterMs: 300,
  lookupWindowMs: 8_000,
  firstLookMs: 8_000,
  lookEveryMs: 10_000,
  callsPerSecond: 0.125,
  readinessMs: 300,
  watchMs: 10_000,
  isEager: false,
};

/** For processes that take requests seconds after their start, or after a herd has died. */
export const PROMPT: Pace = {
  acquaintMs: 200,
  rosterMs: 50,
  lookupWindowMs: 300,
  firstLookMs: 1_000,
  lookEveryMs: 5_000,
  callsPerSecond: 1,
  readinessMs: 50,
  watchMs: 2_500,
  isEager: true,
};

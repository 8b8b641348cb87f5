/** Timing of membership: how soon a process finds peers and how often it calls the platform. */
export interface Pace {
  /** How long a process without links waits before it assumes that it is alone, in milliseconds. */
  readonly joinTimeoutMs: number;
  /** Time allowed for the rosters of the first peers to arrive, in milliseconds. */
  readonly rosterWaitMs: number;
  /** First window in which a process without links reads the directory, in milliseconds. */
  readonly lookupWindowMs: number;
  /** Wait before a root first checks the directory, in milliseconds, plus up to as much jitter. */
  readonly firstCheckMs: number;
  /** Interval of its later checks, in milliseconds. */
  readonly checkIntervalMs: number;
  /** Directory calls that one process may make to the platform, per second. */
  readonly callsPerSecond: number;
  /** Cap of the jittered wait between two readiness checks, in milliseconds. */
  readonly readinessCheckMs: number;
  /** Timeout of a watch on the source, so the longest delay by a silent one, in milliseconds. */
  readonly watchTimeoutMs: number;
  /**
   * Whether a starting process reads the source itself immediately, and may be ready as soon as a
   * ready neighbour holds no newer version.
   */
  readonly isEager: boolean;
}

/** For fleets that start over minutes, with a platform that allows few calls. */
export const STEADY: Pace = {
  joinTimeoutMs: 500,
  rosterWaitMs: 300,
  lookupWindowMs: 8_000,
  firstCheckMs: 8_000,
  checkIntervalMs: 10_000,
  callsPerSecond: 0.125,
  readinessCheckMs: 300,
  watchTimeoutMs: 10_000,
  isEager: false,
};

/** For processes that take requests seconds after their start or after a mass failure. */
export const PROMPT: Pace = {
  joinTimeoutMs: 200,
  rosterWaitMs: 50,
  lookupWindowMs: 300,
  firstCheckMs: 1_000,
  checkIntervalMs: 5_000,
  callsPerSecond: 1,
  readinessCheckMs: 50,
  watchTimeoutMs: 2_500,
  isEager: true,
};

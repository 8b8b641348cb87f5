/** Behaviours of a version in simulated rollouts. */

/** State of an endpoint when a request starts. */
export interface RequestContext {
  /** Time since the version's endpoints were started, in milliseconds. */
  readonly ageMs: number;
  /** Requests in flight as a share of the slots. */
  readonly load: number;
  readonly route: string;
}

/** How a version handles a request. */
export interface RequestEffect {
  /** Probability of failure, 0 to 1. */
  readonly failureRate: number;
  /** Factor by which the request takes longer. */
  readonly slowdown: number;
}

export type VersionBehaviour = (context: RequestContext) => RequestEffect;

export const SOUND: RequestEffect = { failureRate: 0.003, slowdown: 1 };
const FAILING: RequestEffect = { failureRate: 0.5, slowdown: 1 };
const SLOW: RequestEffect = { failureRate: 0.003, slowdown: 5 };
/** Age from which the `late` version fails, in milliseconds. */
const LATE_FAILURE_AGE_MS = 3_500;
/** Share of slots in use from which the `under-load` version fails. */
const HEAVY_LOAD = 0.7;

const badWhen =
  (isBad: (context: RequestContext) => boolean, effect: RequestEffect): VersionBehaviour =>
  (context) =>
    isBad(context) ? effect : SOUND;

/** Behaviours by fault; `sound` has none. */
export const BEHAVIOURS = {
  sound: () => SOUND,
  errors: () => FAILING,
  slow: () => SLOW,
  late: badWhen(({ ageMs }) => ageMs >= LATE_FAILURE_AGE_MS, FAILING),
  'under-load': badWhen(({ load }) => load >= HEAVY_LOAD, FAILING),
  'one-route': badWhen(({ route }) => route === 'rare', FAILING),
} as const satisfies Readonly<Record<string, VersionBehaviour>>;

export type BehaviourName = keyof typeof BEHAVIOURS;

/** How a version behaves, for runs of the model. */

/** What an endpoint is like when a request begins. */
export interface Moment {
  /** Since the version's endpoints were started, in milliseconds. */
  readonly ageMs: number;
  /** Requests that it runs, as a share of its slots. */
  readonly load: number;
  readonly route: string;
}

/** What becomes of the request. */
export interface Fate {
  /** Probability of a failure. */
  readonly failing: number;
  /** How many times as long it takes. */
  readonly slower: number;
}

export type Conduct = (moment: Moment) => Fate;

export const SOUND_FATE: Fate = { failing: 0.003, slower: 1 };
const FAILING: Fate = { failing: 0.5, slower: 1 };
const SLOW: Fate = { failing: 0.003, slower: 5 };
/** Instant from which a version that turns bad late is bad, in milliseconds of its age. */
const LATE_MS = 3_500;
/** Share of the slots in use from which a version that does not bear load fails. */
const HEAVY_LOAD = 0.7;

const when =
  (isBad: (moment: Moment) => boolean, fate: Fate): Conduct =>
  (moment) =>
    isBad(moment) ? fate : SOUND_FATE;

/** Versions by what is wrong with them; `sound` has nothing wrong with it. */
export const CONDUCTS = {
  sound: () => SOUND_FATE,
  errors: () => FAILING,
  slow: () => SLOW,
  late: when(({ ageMs }) => ageMs >= LATE_MS, FAILING),
  'under-load': when(({ load }) => load >= HEAVY_LOAD, FAILING),
  'one-route': when(({ route }) => route === 'rare', FAILING),
} as const satisfies Readonly<Record<string, Conduct>>;

export type ConductName = keyof typeof CONDUCTS;

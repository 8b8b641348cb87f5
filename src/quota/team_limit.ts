/** The quota of one team in figures. */
import { type Team } from '../contracts.js';
import { fnv1a } from '../runtime/hash.js';

/** Window over which the upper bound of requests holds, in seconds. */
const WINDOW_S = 5;
/** Tolerance of the upper bound: a part of the quota of a window, and a number of requests. */
const TOLERANCE = 0.1;
const TOLERANCE_REQUESTS = 20;
/** Part of the tolerance that serves as capacity; the rest is the start credit. */
const CAPACITY_PART = 0.8;

/** Rate, capacity and start credit of a team over all processes. */
export class TeamLimit {
  /** Maximum number of unspent tokens over all processes. */
  readonly capacity: number;

  /** Tokens that all processes together have when they start. */
  readonly startCredit: number;

  constructor(
    readonly name: string,
    /** Number by which messages name the team, which is shorter. */
    readonly id: number,
    readonly requestsPerSecond: number,
    burst: number,
  ) {
    const tolerance = TOLERANCE * (WINDOW_S * requestsPerSecond + burst) + TOLERANCE_REQUESTS;
    this.capacity = burst + CAPACITY_PART * tolerance;
    this.startCredit = (1 - CAPACITY_PART) * tolerance;
  }
}

/**
 * The limits of the teams that have one. Their numbers are hashes of the names; of two names with the
 * same hash, the later one in the order of names gets the next free number.
 */
export function teamLimitsOf(teams: Iterable<Team>): TeamLimit[] {
  const limited = [...teams].filter(({ requestsPerSecond = 0 }) => requestsPerSecond > 0);
  limited.sort((a, b) => (a.name < b.name ? -1 : 1));
  const taken = new Set<number>();
  return limited.map(({ name, requestsPerSecond = 0, burst = 0 }) => {
    let id = fnv1a(name) >>> 0;
    while (taken.has(id)) id += 1;
    taken.add(id);
    return new TeamLimit(name, id, requestsPerSecond, burst);
  });
}

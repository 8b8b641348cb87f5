/** How long a caller has been waiting before this attempt of its. */

/** Sightings in a row that make a wait the usual one of a route. */
const SURE = 8;
/** Most that sightings count, so that a new usual wait is taken up soon. */
const MAX_COUNT = 64;
/** Routes that are remembered; beyond that all are forgotten. */
const MAX_ROUTES = 2_000;

interface Candidate {
  waitMs: number;
  count: number;
}

/**
 * Callers of a route mostly wait equally long, and say with each attempt how much of that is left.
 * What is missing from the usual wait has passed before, at attempts that were refused: such a
 * caller has less time to be answered in than one that has just come. Where the waits differ, no
 * usual one is found, and nothing is assumed.
 */
export class UsualWaits {
  readonly #candidates = new Map<string, Candidate>();

  /** Time that has passed since the caller's first attempt, in milliseconds; 0 if unknown. */
  elapsed(route: string, waitMs: number): number {
    const candidate = this.#candidates.get(route);
    if (!candidate) {
      if (this.#candidates.size >= MAX_ROUTES) this.#candidates.clear();
      this.#candidates.set(route, { waitMs, count: 1 });
      return 0;
    }
    if (candidate.waitMs === waitMs) candidate.count = Math.min(MAX_COUNT, candidate.count + 1);
    else if (candidate.count > 0) candidate.count -= 1;
    else Object.assign(candidate, { waitMs, count: 1 });
    return candidate.count >= SURE ? Math.max(0, candidate.waitMs - waitMs) : 0;
  }
}

/** Decides which requests go to a version on trial, and to which of its endpoints. */
import { type Random } from '../runtime/random.js';
import { type TrialShare } from './version_roles.js';
import { type EndpointStats } from './endpoint_stats.js';

/** Maximum number of requests owed to the trial, so that a pause is not followed by a burst. */
const MAX_OWED = 2;

/** Counts requests owed to the trial by route, as a bad version may fail on one route only. */
export class TrialScheduler {
  readonly #owed = new Map<string, number>();

  constructor(private readonly random: Random) {}

  /** Whether the next request of the route goes to the version on trial. */
  next(route: string, share: number): boolean {
    if (share <= 0) return false;
    // Starts at a random value: otherwise all entries would send their first request at the same time.
    const owed = (this.#owed.get(route) ?? this.random.next()) + share;
    const isDue = owed >= 1;
    this.#owed.set(route, Math.min(MAX_OWED, isDue ? owed - 1 : owed));
    return isDue;
  }
}

/**
 * Chooses among the endpoints whose turn it is, or the next available one if none of them is.
 * `members` have the same order in all processes, so that all entries load the same few endpoints.
 */
export function chooseOnTrial(
  members: readonly EndpointStats[],
  { count, turn }: TrialShare,
  random: Random,
  now: number,
): EndpointStats | undefined {
  const available = (index: number): EndpointStats | undefined => {
    const member = members[(turn * count + index) % members.length];
    return member?.member.liveness === 'alive' && !member.isAvoided(now) ? member : undefined;
  };
  const size = Math.min(count, members.length);
  const start = size > 0 ? random.below(size) : 0;
  for (let step = 0; step < size; step++) {
    const member = available((start + step) % size);
    if (member) return member;
  }
  for (let index = size; index < members.length; index++) {
    const member = available(index);
    if (member) return member;
  }
  return undefined;
}

/** The endpoints of an upstream whose version is on trial, and which requests go there. */
import { type Random } from '../runtime/random.js';
import { type TrialShare } from './cohorts.js';
import { type Experience } from './experience.js';

/** Requests that may be owed to the trial at most, so that a pause is not made up for at once. */
const MOST_OWED = 2;

/** Requests owed to the trial of an upstream, by route: a bad version may fail on one route only. */
export class TrialDeals {
  readonly #owed = new Map<string, number>();

  constructor(private readonly random: Random) {}

  /** Whether the next request of the route goes to the version on trial. */
  next(route: string, share: number): boolean {
    if (share <= 0) return false;
    // Entries begin at random places: together they would else give nothing for long, and then all at once.
    const owed = (this.#owed.get(route) ?? this.random.next()) + share;
    const isDue = owed >= 1;
    this.#owed.set(route, Math.min(MOST_OWED, isDue ? owed - 1 : owed));
    return isDue;
  }
}

/**
 * The endpoint to ask among those whose turn it is; the next ones if these cannot be asked. `members`
 * stand in the same order everywhere, so that all entries load the same few.
 */
export function onTrial(
  members: readonly Experience[],
  { count, turn }: TrialShare,
  random: Random,
  now: number,
): Experience | undefined {
  const willing = (index: number): Experience | undefined => {
    const member = members[(turn * count + index) % members.length];
    return member?.member.liveness === 'alive' && !member.isAvoided(now) ? member : undefined;
  };
  const among = Math.min(count, members.length);
  const start = among > 0 ? random.below(among) : 0;
  for (let step = 0; step < among; step++) {
    const member = willing((start + step) % among);
    if (member) return member;
  }
  for (let index = among; index < members.length; index++) {
    const member = willing(index);
    if (member) return member;
  }
  return undefined;
}

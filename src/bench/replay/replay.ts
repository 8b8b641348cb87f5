/** Plays a load pattern under several rules, in simulated time. */
import { TimerClock } from '../../runtime/clock.js';
import { SeededRandom } from '../../runtime/random.js';
import { type Summary } from './books.js';
import { type Pattern } from './pattern.js';
import { Former, Ours, type Policy, Simple } from './policy.js';
import { inVirtualTime } from './virtual_time.js';
import { World } from './world.js';

export const POLICIES: readonly Policy[] = [new Ours(), new Former(), new Simple()];

/** One run; the same pattern, rules and seed give the same summary. */
export interface Replayed extends Summary {
  readonly pattern: string;
  readonly policy: string;
  readonly seed: number;
}

export async function replay(pattern: Pattern, policy: Policy, seed: number): Promise<Replayed> {
  const books = await inVirtualTime(() => {
    const world = new World(pattern, policy, new TimerClock(), new SeededRandom(seed));
    return world.play();
  });
  return { pattern: pattern.name, policy: policy.name, seed, ...books.summary };
}

/** Replays load patterns in virtual time. */
import { TimerClock } from '../../runtime/clock.js';
import { SeededRandom } from '../../runtime/random.js';
import { type Summary } from './replay_stats.js';
import { type Pattern } from './pattern.js';
import { FormerPolicy, CurrentPolicy, type Policy, SimplePolicy } from './policy.js';
import { inVirtualTime } from './virtual_time.js';
import { Simulation } from './simulation.js';
import { TEAM_POLICIES } from './team_policies.js';
import { SLOWNESS_POLICIES } from './slowness_policies.js';

export const POLICIES: readonly Policy[] = [
  new CurrentPolicy(),
  new FormerPolicy(),
  new SimplePolicy(),
];

/** The policies to compare on a pattern: those that differ in what it is about, teams or slowness. */
export function policiesFor({ teams, upstreams }: Pattern): readonly Policy[] {
  if (teams.length > 0) return TEAM_POLICIES;
  const areShared = upstreams.some(({ instances }) => instances.some(({ sharing }) => sharing));
  return areShared ? SLOWNESS_POLICIES : POLICIES;
}

/** The result of one run; deterministic for a pattern, a policy and a seed. */
export interface ReplayResult extends Summary {
  readonly pattern: string;
  readonly policy: string;
  readonly seed: number;
}

export async function replay(
  pattern: Pattern,
  policy: Policy,
  seed: number,
): Promise<ReplayResult> {
  const stats = await inVirtualTime(() => {
    const simulation = new Simulation(pattern, policy, new TimerClock(), new SeededRandom(seed));
    return simulation.run();
  });
  return { pattern: pattern.name, policy: policy.name, seed, ...stats.summary };
}

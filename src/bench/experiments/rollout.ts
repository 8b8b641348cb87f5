import { Experiment, type Options, type Result, rounded } from '../experiment.js';
import { type BehaviourName, BEHAVIOURS } from '../rollouts/version_behaviour.js';
import { type RolloutResult, simulateRollout } from '../rollouts/rollout_simulation.js';

const RUNS = 200;
const REQUESTS_PER_SECOND_EACH = 30;
const MS_PER_SECOND = 1_000;

/**
 * Simulates rollouts of sound and faulty versions: how soon they end, how many requests the new
 * version gets, and how often the verdict is wrong.
 */
export class RolloutSimulations extends Experiment {
  readonly name = 'rollout';

  /** Here the number of endpoints of each version. */
  override readonly defaultProcesses = 27;

  async run({ processes, seed, progress }: Options): Promise<Result> {
    const figures: Record<string, unknown> = { endpoints: processes, runs: RUNS };
    for (const name of Object.keys(BEHAVIOURS) as BehaviourName[]) {
      progress(name);
      const ends = Array.from({ length: RUNS }, (_, run) =>
        simulateRollout({
          behaviour: BEHAVIOURS[name],
          seed: seed * RUNS + run,
          endpoints: processes,
          requestsPerSecond: processes * REQUESTS_PER_SECOND_EACH,
        }),
      );
      Object.assign(figures, figuresOf(name, ends));
    }
    return figures;
  }
}

function figuresOf(name: BehaviourName, ends: readonly RolloutResult[]): Result {
  const wrong = ends.filter(({ phase }) => (phase === 'withdrawn') === (name === 'sound'));
  const times = ends.map(({ tookMs }) => tookMs / MS_PER_SECOND).sort((a, b) => a - b);
  const shares = ends.map(
    ({ candidateRequests, allowedRequests }) => candidateRequests / allowedRequests,
  );
  const figures = {
    Wrong: wrong.length,
    MedianS: rounded(times[times.length >> 1]!),
    LastS: rounded(times.at(-1)!),
  };
  const exposure = {
    /** Requests that the version got as a share of those allowed, in the worst run. */
    WorstExposure: rounded(Math.max(...shares)),
    TooLate: ends.filter(({ isTooLate }) => isTooLate).length,
  };
  const reported = name === 'sound' ? figures : { ...figures, ...exposure };
  return Object.fromEntries(
    Object.entries(reported).map(([key, value]) => [`${name}${key}`, value]),
  );
}

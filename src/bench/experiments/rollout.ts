import { Experiment, type Options, type Result, rounded } from '../experiment.js';
import { type ConductName, CONDUCTS } from '../rollouts/conduct.js';
import { type TrialEnd, trialRun } from '../rollouts/trial_run.js';

const RUNS = 200;
const REQUESTS_PER_SECOND_EACH = 30;
const MS_PER_SECOND = 1_000;

/**
 * Roll-outs of versions with something wrong with them, or nothing, in simulated time: how soon they
 * end, how many requests the new version gets, and how often the verdict is wrong.
 */
export class RolloutTrials extends Experiment {
  readonly name = 'rollout';

  /** Endpoints of each version. */
  override readonly defaultProcesses = 27;

  async run({ processes, seed, progress }: Options): Promise<Result> {
    const figures: Record<string, unknown> = { endpoints: processes, runs: RUNS };
    for (const name of Object.keys(CONDUCTS) as ConductName[]) {
      progress(name);
      const ends = Array.from({ length: RUNS }, (_, run) =>
        trialRun({
          conduct: CONDUCTS[name],
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

function figuresOf(name: ConductName, ends: readonly TrialEnd[]): Result {
  const wrong = ends.filter(({ phase }) => (phase === 'withdrawn') === (name === 'sound'));
  const times = ends.map(({ tookMs }) => tookMs / MS_PER_SECOND).sort((a, b) => a - b);
  const shares = ends.map(({ given, allowed }) => given / allowed);
  const figures = {
    Wrong: wrong.length,
    MedianS: rounded(times[times.length >> 1]!),
    LastS: rounded(times.at(-1)!),
  };
  const exposure = {
    /** Requests that the version got as a share of those it may, in the worst run. */
    WorstExposure: rounded(Math.max(...shares)),
    TooLate: ends.filter(({ isTooLate }) => isTooLate).length,
  };
  const told = name === 'sound' ? figures : { ...figures, ...exposure };
  return Object.fromEntries(Object.entries(told).map(([key, value]) => [`${name}${key}`, value]));
}

/** Benchmark command: `npm run bench -- EXPERIMENT [--json] [--processes N] [--seed S]`. */
import { cac } from 'cac';
import { MachineClock } from '../runtime/clock.js';
import { type Experiment } from './experiment.js';
import { drawCharts } from './charts.js';
import { saveResult, RESULTS_FOLDER } from './results.js';
import { AddedLatency } from './experiments/added_latency.js';
import { Cold } from './experiments/cold.js';
import { ControlBytes } from './experiments/control_bytes.js';
import { Convergence } from './experiments/convergence.js';
import { Herd } from './experiments/herd.js';
import { Overload } from './experiments/overload.js';
import { Pauses } from './experiments/pauses.js';
import { RolloutSimulations } from './experiments/rollout.js';
import { Slopes } from './experiments/slopes.js';
import { Stops } from './experiments/stops.js';
import { replayCommand } from './replay/command.js';
import { StealTime } from './steal_time.js';

const clock = new MachineClock();
const DEFAULT_SEED = 1;
/** More processes would use over half of the machine's memory. */
const MAX_PROCESSES = 200;
const EXIT_USAGE = 2;

const experiments: readonly Experiment[] = [
  new Convergence(clock),
  new ControlBytes(clock),
  new Herd(clock),
  new AddedLatency(clock),
  new Overload(clock),
  new Slopes(clock),
  new Cold(clock),
  new Stops(clock),
  new Pauses(clock),
  new RolloutSimulations(clock),
];

interface Flags {
  readonly json?: boolean;
  readonly processes?: number;
  readonly seed?: number;
  readonly keep?: string;
}

async function run(name: string, flags: Flags): Promise<number> {
  if (name === 'report') return drawReport();
  const experiment = experiments.find((one) => one.name === name);
  if (!experiment) {
    console.error(
      `unknown experiment ${name}; expected one of ${experiments.map((one) => one.name).join(', ')}`,
    );
    return EXIT_USAGE;
  }
  const processes = flags.processes ?? experiment.defaultProcesses;
  if (!Number.isInteger(processes) || processes < 2 || processes > MAX_PROCESSES) {
    console.error(
      `--processes: got ${processes}, expected a whole number from 2 to ${MAX_PROCESSES}`,
    );
    return EXIT_USAGE;
  }
  const startedAt = clock.now();
  const stealTime = await StealTime.begin();
  const progress = (text: string) => {
    if (flags.json) return;
    console.error(`${((clock.now() - startedAt) / 1000).toFixed(1).padStart(6)} s  ${text}`);
  };
  const result = await experiment.run({ processes, seed: flags.seed ?? DEFAULT_SEED, progress });
  const stealPercent = await stealTime.percent();
  const figures = { experiment: name, ...result, stealPercent };
  if (flags.keep) await saveResult(flags.keep, figures);
  console.log(JSON.stringify(figures));
  return 0;
}

async function drawReport(): Promise<number> {
  const drawings = await drawCharts(RESULTS_FOLDER);
  console.log(drawings.join('\n'));
  return 0;
}

const tool = cac('bench');
tool.option('--json', 'print only the result');
tool.option('--processes <n>', 'number of processes');
tool.option('--seed <s>', 'seed of the random numbers that the benchmark draws');
tool.option('--keep <name>', 'save the result to bench/results/<name>.json');
tool
  .command(
    'replay [...patterns]',
    'compare policies on load patterns, such as bench/patterns/*.json',
  )
  .action((patterns: readonly string[], flags: Flags) =>
    replayCommand(patterns.map(String), flags.json ?? false),
  );
tool
  .command('<experiment>', `${experiments.map((one) => one.name).join(', ')}, or report`)
  .action(run);
tool.help();
tool.parse(process.argv, { run: false });
process.exitCode = tool.matchedCommand ? ((await tool.runMatchedCommand()) as number) : EXIT_USAGE;

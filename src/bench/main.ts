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
import { Ends } from './experiments/ends.js';
import { Herd } from './experiments/herd.js';
import { Overload } from './experiments/overload.js';
import { Pauses } from './experiments/pauses.js';
import { RolloutSimulations } from './experiments/rollout.js';
import { Slopes } from './experiments/slopes.js';
import { Stops } from './experiments/stops.js';
import { describeEnd } from './process_end.js';
import { Program } from './processes.js';
import { replayCommand } from './replay/command.js';
import { StealTime } from './steal_time.js';

const clock = new MachineClock();
const DEFAULT_SEED = 1;
/** More processes would use over half of the machine's memory. */
const MAX_PROCESSES = 200;
/** Bound of busy processes beside a run. */
const MAX_BUSY = 12;
const MAX_SECONDS = 600;
const EXIT_FAILED = 1;
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
  new Ends(clock),
  new RolloutSimulations(clock),
];

interface Flags {
  readonly json?: boolean;
  readonly processes?: number;
  readonly seed?: number;
  readonly seconds?: number;
  readonly busy?: number;
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
  const { seed = DEFAULT_SEED, processes = experiment.defaultProcesses, seconds, busy } = flags;
  const problem =
    problemOf('processes', processes, 2, MAX_PROCESSES) ??
    problemOf('seconds', seconds ?? 1, 1, MAX_SECONDS) ??
    problemOf('busy', busy ?? 0, 0, MAX_BUSY);
  if (problem !== undefined) {
    console.error(problem);
    return EXIT_USAGE;
  }
  const startedAt = clock.now();
  const stealTime = await StealTime.begin();
  const progress = (text: string) => {
    if (flags.json) return;
    console.error(`${((clock.now() - startedAt) / 1000).toFixed(1).padStart(6)} s  ${text}`);
  };
  const options = {
    processes,
    seed,
    progress,
    ...(seconds !== undefined && { seconds }),
    ...(busy !== undefined && { busy }),
  };
  const result = await experiment.run(options).catch((error: unknown) => {
    Program.takeUnaskedEnds().forEach((end) => console.error(`failure: ${describeEnd(end)}`));
    throw error;
  });
  const stealPercent = await stealTime.percent();
  const unasked = Program.takeUnaskedEnds().map(describeEnd);
  const failures = [...unasked, ...(result.failures ?? [])];
  const figures = { experiment: name, ...result, failures, stealPercent };
  if (flags.keep) await saveResult(flags.keep, figures);
  console.log(JSON.stringify(figures));
  failures.forEach((failure) => console.error(`failure: ${failure}`));
  return failures.length > 0 ? EXIT_FAILED : 0;
}

/** Says what is wrong with the value of a flag; undefined if it is valid. */
function problemOf(flag: string, value: number, least: number, most: number): string | undefined {
  if (Number.isInteger(value) && value >= least && value <= most) return undefined;
  return `--${flag}: got ${value}, expected a whole number from ${least} to ${most}`;
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
tool.option('--seconds <s>', 'time for which faults are played, where an experiment plays them');
tool.option('--busy <n>', 'processes that keep the machine busy beside the experiment `ends`');
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

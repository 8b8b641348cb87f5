/** The load and experiment tool: `npm run bench -- EXPERIMENT [--json] [--processes N] [--seed S]`. */
import { mkdir, writeFile } from 'node:fs/promises';
import { cac } from 'cac';
import { MachineClock } from '../runtime/clock.js';
import { type Experiment } from './experiment.js';
import { AddedLatency } from './experiments/added_latency.js';
import { ControlBytes } from './experiments/control_bytes.js';
import { Convergence } from './experiments/convergence.js';
import { Herd } from './experiments/herd.js';
import { Overload } from './experiments/overload.js';

const clock = new MachineClock();
const RESULTS = new URL('../../bench/results/', import.meta.url);
const DEFAULT_SEED = 1;
/** More would take more than half of the machine's memory. */
const MAX_PROCESSES = 200;
const EXIT_USAGE = 2;

const experiments: readonly Experiment[] = [
  new Convergence(clock),
  new ControlBytes(clock),
  new Herd(clock),
  new AddedLatency(clock),
  new Overload(clock),
];

interface Flags {
  readonly json?: boolean;
  readonly processes?: number;
  readonly seed?: number;
  readonly keep?: string;
}

async function run(name: string, flags: Flags): Promise<number> {
  const experiment = experiments.find((one) => one.name === name);
  if (!experiment) {
    console.error(
      `no experiment ${name}; there are ${experiments.map((one) => one.name).join(', ')}`,
    );
    return EXIT_USAGE;
  }
  const processes = flags.processes ?? experiment.defaultProcesses;
  if (!Number.isInteger(processes) || processes < 2 || processes > MAX_PROCESSES) {
    console.error(
      `--processes: ${processes} is not allowed: a whole number from 2 to ${MAX_PROCESSES}`,
    );
    return EXIT_USAGE;
  }
  const startedAt = clock.now();
  const progress = (text: string) => {
    if (flags.json) return;
    console.error(`${((clock.now() - startedAt) / 1000).toFixed(1).padStart(6)} s  ${text}`);
  };
  const result = await experiment.run({ processes, seed: flags.seed ?? DEFAULT_SEED, progress });
  const line = JSON.stringify({ experiment: name, ...result });
  if (flags.keep) await keep(flags.keep, line);
  console.log(line);
  return 0;
}

/** Keeps a result that a commit or a page quotes. */
async function keep(name: string, line: string): Promise<void> {
  await mkdir(RESULTS, { recursive: true });
  await writeFile(new URL(`${name}.json`, RESULTS), `${line}\n`);
}

const tool = cac('bench');
tool.option('--json', 'print nothing but the result');
tool.option('--processes <n>', 'how many processes');
tool.option('--seed <s>', 'seed of whatever is random in the bench');
tool.option('--keep <name>', 'keep the result under bench/results/<name>.json');
tool.command('<experiment>', experiments.map((one) => one.name).join(', ')).action(run);
tool.help();
tool.parse(process.argv, { run: false });
process.exitCode = tool.matchedCommand ? ((await tool.runMatchedCommand()) as number) : EXIT_USAGE;

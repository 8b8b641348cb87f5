import { ReleaseNote } from '../../contracts.js';
import { type Clock } from '../../runtime/clock.js';
import { Experiment, type Options, type Result, rounded } from '../experiment.js';
import { getJson } from '../http.js';
import { faults, load, type Outcome, totalRuns } from '../load.js';
import { RequestPath } from '../request_path.js';

const RATES = [65, 1_000] as const;
const FOR_MS = 8_000;
const WARM_UP_MS = 2_000;
const CHURN_RATE = 300;
const CHURN_MS = 6_000;
const CHURN_STEP_MS = 500;
const STEPS_BEFORE_DRAIN = 3;
const STEPS_BEFORE_STOP = 7;
const TIMEOUT_MS = 5_000;

interface Added {
  readonly callsPerSecond: number;
  readonly directP50Ms: number;
  readonly throughP50Ms: number;
  readonly directP99Ms: number;
  readonly throughP99Ms: number;
  readonly addedP99Ms: number;
}

/**
 * Calls straight to an upstream instance and through entry and guard, in the same run; then calls
 * while the configuration changes, an endpoint drains and a process stops.
 */
export class AddedLatency extends Experiment {
  readonly name = 'added-latency';

  override readonly defaultProcesses = 4;

  async run({ processes, progress }: Options): Promise<Result> {
    await using path = await RequestPath.start(this.clock, {
      daemons: processes,
      upstreams: processes - 1,
      slots: 20,
      delayMs: 0,
      timeoutMs: TIMEOUT_MS,
    });
    await this.#both(path, 200, WARM_UP_MS, 'warm-up');
    const added: Added[] = [];
    for (const rate of RATES) {
      progress(`${rate} calls/s`);
      added.push(await this.#both(path, rate, FOR_MS, `steady-${rate}`));
    }
    progress('configuration changes, an endpoint drains, a process stops');
    const churned = await this.#churn(path);
    const [slow, fast] = added;
    return { ...fast, at65: slow, ...churned };
  }

  async #both(path: RequestPath, rate: number, forMs: number, label: string): Promise<Added> {
    const entry = path.entries[0]!.program.ports.callerPort!;
    const target = path.upstreams[0]!.ports.port!;
    const shape = { path: '/suppers/today', callsPerSecond: rate, forMs };
    const [direct, through] = await Promise.all([
      load(this.clock, { ...shape, ports: [target], label: `${label}-direct` }),
      load(this.clock, { ...shape, ports: [entry], label: `${label}-through` }),
    ]);
    if (through.others.size > 0) throw new Error([...through.others.values()].join('\n'));
    return {
      callsPerSecond: rate,
      directP50Ms: rounded(direct.times.at(50)),
      throughP50Ms: rounded(through.times.at(50)),
      directP99Ms: rounded(direct.times.at(99)),
      throughP99Ms: rounded(through.times.at(99)),
      addedP99Ms: rounded(through.times.at(99) - direct.times.at(99)),
    };
  }

  async #churn(path: RequestPath) {
    const ports = path.entries.map(({ program }) => program.ports.callerPort!);
    const shape = { ports, path: '/suppers/seats', method: 'POST' };
    const loading = load(this.clock, {
      ...shape,
      callsPerSecond: CHURN_RATE,
      forMs: CHURN_MS,
      label: 'churn',
    });
    await this.#disturb(path);
    const outcome: Outcome = await loading;
    const runs = onlyChurn(totalRuns(await path.runs()));
    const { others } = outcome;
    return {
      churned: outcome.answered.size,
      refusedNotRun: outcome.notRun.size,
      ...faults(outcome, runs),
      ...(others.size > 0 && { causes: [...new Set(others.values())].slice(0, 5) }),
    };
  }

  async #disturb(path: RequestPath): Promise<void> {
    const wait = stepper(this.clock);
    for (let step = 1; step <= CHURN_MS / CHURN_STEP_MS - 1; step++) {
      await path.ours.accept(changing(step));
      if (step === STEPS_BEFORE_DRAIN) await drain(path.upstreams[0]!.ports.controlPort!);
      if (step === STEPS_BEFORE_STOP) void path.guards[1]!.program.stop();
      await wait();
    }
  }
}

function stepper(clock: Clock): () => Promise<void> {
  return () => clock.sleepUntil(clock.now() + CHURN_STEP_MS);
}

async function drain(port: number): Promise<void> {
  await getJson(port, '/draining');
}

function changing(step: number): ReleaseNote {
  const limits = [{ name: 'standard', slots: 20 + (step % 2) }];
  return ReleaseNote.parse({ id: `churn-${step}`, author: 'bench', change: { limits } });
}

function onlyChurn(runs: Map<string, number>): Map<string, number> {
  return new Map([...runs].filter(([id]) => id.startsWith('churn')));
}

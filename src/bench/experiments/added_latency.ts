import { ReleaseNote } from '../../contracts.js';
import { type Clock } from '../../runtime/clock.js';
import { Experiment, type Options, type Result, rounded, Times } from '../experiment.js';
import { getJson } from '../http.js';
import { faults, load, type Outcome, totalRuns } from '../load.js';
import { PlainHops } from '../plain_hops.js';
import { RequestPath } from '../request_path.js';

const RATES = [1_000, 65] as const;
/** Each way is measured in turns: at once, they would measure how busy the bench is. */
const TURNS = 2;
const TURN_MS = 2_500;
const WARM_UP_RATE = 1_000;
const WARM_UP_MS = 2_000;
const CHURN_RATE = 300;
const CHURN_MS = 6_000;
const CHURN_STEP_MS = 500;
const STEPS_BEFORE_DRAIN = 3;
const STEPS_BEFORE_STOP = 7;
const TIMEOUT_MS = 5_000;

/** Three ways to the same upstream instance. */
interface Ways<T> {
  readonly direct: T;
  /** Two proxies that only pass requests on: what two hops cost here at the least. */
  readonly plain: T;
  /** Entry and guard. */
  readonly through: T;
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
    await using plain = await PlainHops.start(path.upstreams[0]!.ports.port!);
    const ports = {
      direct: path.upstreams[0]!.ports.port!,
      plain: plain.port,
      through: path.entries[0]!.program.ports.callerPort!,
    };
    await this.#turns(ports, WARM_UP_RATE, WARM_UP_MS, 1);
    const results: Result[] = [];
    for (const rate of RATES) {
      progress(`${rate} calls/s`);
      results.push(await this.#measure(path, ports, rate));
    }
    progress('configuration changes, an endpoint drains, a process stops');
    const churned = await this.#churn(path);
    const [fast, slow] = results;
    return { ...fast, at65: slow, ...churned };
  }

  async #measure(path: RequestPath, ports: Ways<number>, rate: number): Promise<Result> {
    const cpuBefore = await cpuOf(path);
    const times = await this.#turns(ports, rate, TURN_MS, TURNS);
    const cpuAfter = await cpuOf(path);
    const calls = times.through.count;
    return {
      callsPerSecond: rate,
      directP50Ms: rounded(times.direct.at(50)),
      plainP50Ms: rounded(times.plain.at(50)),
      throughP50Ms: rounded(times.through.at(50)),
      directP99Ms: rounded(times.direct.at(99)),
      plainP99Ms: rounded(times.plain.at(99)),
      throughP99Ms: rounded(times.through.at(99)),
      addedP99Ms: rounded(times.through.at(99) - times.direct.at(99)),
      plainAddedP99Ms: rounded(times.plain.at(99) - times.direct.at(99)),
      entryCpuMsPerCall: rounded((cpuAfter.entry - cpuBefore.entry) / calls, 3),
      guardCpuMsPerCall: rounded((cpuAfter.guards - cpuBefore.guards) / calls, 3),
    };
  }

  /** Sends at the same rate over each way, one after the other, so many times. */
  async #turns(
    ports: Ways<number>,
    callsPerSecond: number,
    forMs: number,
    turns: number,
  ): Promise<Ways<Times>> {
    const times = { direct: new Times(), plain: new Times(), through: new Times() };
    const shape = { path: '/suppers/today', callsPerSecond, forMs };
    for (let turn = 1; turn <= turns; turn++) {
      for (const way of ['direct', 'plain', 'through'] as const) {
        const label = `${way}-${callsPerSecond}-${forMs}-${turn}`;
        const one = { ...shape, ports: [ports[way]], label, times: times[way] };
        const { others } = await load(this.clock, one);
        if (others.size > 0) throw new Error([...new Set(others.values())].join('\n'));
      }
    }
    return times;
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

async function cpuOf(path: RequestPath): Promise<{ entry: number; guards: number }> {
  const entry = await path.entries[0]!.program.usage();
  const guards = await Promise.all(path.guards.map(({ program }) => program.usage()));
  return { entry: entry.cpuMs, guards: guards.reduce((sum, { cpuMs }) => sum + cpuMs, 0) };
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

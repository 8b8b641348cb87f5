import { ReleaseNote } from '../../contracts.js';
import { type Clock } from '../../runtime/clock.js';
import { Experiment, type Options, type Result, rounded, LatencyHistogram } from '../experiment.js';
import { getJson } from '../json_client.js';
import { countFaults, generateLoad, type LoadResult, totalRuns } from '../load.js';
import { PlainProxyChain } from '../plain_proxy_chain.js';
import { RequestPath } from '../request_path.js';

const RATES = [1_000, 65] as const;
/** Paths are measured one at a time: concurrent load would measure how busy the client is. */
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

/** One value per path to the same upstream instance. */
interface PerPath<T> {
  readonly direct: T;
  /** Through two proxies that only forward: the least that two hops cost on this machine. */
  readonly plain: T;
  /** Through entry and guard. */
  readonly through: T;
}

/**
 * Measures calls sent directly to an upstream instance and through entry and guard, in the same
 * run; then calls while the configuration changes, an endpoint drains and a process stops.
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
    await using plain = await PlainProxyChain.start(path.upstreams[0]!.ports.port!);
    const ports = {
      direct: path.upstreams[0]!.ports.port!,
      plain: plain.port,
      through: path.entries[0]!.program.ports.callerPort!,
    };
    await this.#measureInTurns(ports, WARM_UP_RATE, WARM_UP_MS, 1);
    const results: Result[] = [];
    for (const rate of RATES) {
      progress(`${rate} calls/s`);
      results.push(await this.#measure(path, ports, rate));
    }
    progress('calls during configuration changes, a drain and a stop');
    const churned = await this.#measureUnderChurn(path);
    const [fast, slow] = results;
    return { ...fast, at65: slow, ...churned };
  }

  async #measure(path: RequestPath, ports: PerPath<number>, rate: number): Promise<Result> {
    const cpuBefore = await cpuOf(path);
    const times = await this.#measureInTurns(ports, rate, TURN_MS, TURNS);
    const cpuAfter = await cpuOf(path);
    const calls = times.through.count;
    return {
      callsPerSecond: rate,
      directP50Ms: rounded(times.direct.percentile(50)),
      plainP50Ms: rounded(times.plain.percentile(50)),
      throughP50Ms: rounded(times.through.percentile(50)),
      directP99Ms: rounded(times.direct.percentile(99)),
      plainP99Ms: rounded(times.plain.percentile(99)),
      throughP99Ms: rounded(times.through.percentile(99)),
      addedP99Ms: rounded(times.through.percentile(99) - times.direct.percentile(99)),
      plainAddedP99Ms: rounded(times.plain.percentile(99) - times.direct.percentile(99)),
      entryCpuMsPerCall: rounded((cpuAfter.entry - cpuBefore.entry) / calls, 3),
      guardCpuMsPerCall: rounded((cpuAfter.guards - cpuBefore.guards) / calls, 3),
    };
  }

  /** Sends at the same rate over each path, one after the other, `turns` times. */
  async #measureInTurns(
    ports: PerPath<number>,
    callsPerSecond: number,
    durationMs: number,
    turns: number,
  ): Promise<PerPath<LatencyHistogram>> {
    const times = {
      direct: new LatencyHistogram(),
      plain: new LatencyHistogram(),
      through: new LatencyHistogram(),
    };
    const shape = { path: '/suppers/today', callsPerSecond, durationMs };
    for (let turn = 1; turn <= turns; turn++) {
      for (const way of ['direct', 'plain', 'through'] as const) {
        const label = `${way}-${callsPerSecond}-${durationMs}-${turn}`;
        const one = { ...shape, ports: [ports[way]], label, times: times[way] };
        const { unexpected } = await generateLoad(this.clock, one);
        if (unexpected.size > 0) throw new Error([...new Set(unexpected.values())].join('\n'));
      }
    }
    return times;
  }

  async #measureUnderChurn(path: RequestPath) {
    const ports = path.entries.map(({ program }) => program.ports.callerPort!);
    const shape = { ports, path: '/suppers/seats', method: 'POST' };
    const loading = generateLoad(this.clock, {
      ...shape,
      callsPerSecond: CHURN_RATE,
      durationMs: CHURN_MS,
      label: 'churn',
    });
    await this.#applyChurn(path);
    const result: LoadResult = await loading;
    const runs = onlyChurn(totalRuns(await path.runs()));
    const { unexpected } = result;
    return {
      churned: result.answered.size,
      refusedNotRun: result.notRun.size,
      ...countFaults(result, runs),
      ...(unexpected.size > 0 && { causes: [...new Set(unexpected.values())].slice(0, 5) }),
    };
  }

  async #applyChurn(path: RequestPath): Promise<void> {
    const wait = waitBetweenSteps(this.clock);
    for (let step = 1; step <= CHURN_MS / CHURN_STEP_MS - 1; step++) {
      await path.deployment.submit(limitChange(step));
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

function waitBetweenSteps(clock: Clock): () => Promise<void> {
  return () => clock.sleepUntil(clock.now() + CHURN_STEP_MS);
}

async function drain(port: number): Promise<void> {
  await getJson(port, '/draining');
}

function limitChange(step: number): ReleaseNote {
  const limits = [{ name: 'standard', slots: 20 + (step % 2) }];
  return ReleaseNote.parse({ id: `churn-${step}`, author: 'bench', change: { limits } });
}

function onlyChurn(runs: Map<string, number>): Map<string, number> {
  return new Map([...runs].filter(([id]) => id.startsWith('churn')));
}

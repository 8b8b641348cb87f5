import { type Deployment, DaemonDeployment, type Proxy } from '../deployment.js';
import { Experiment, type Options, type Result, rounded, LatencyHistogram } from '../experiment.js';
import { platformCalls } from '../json_client.js';
import { changeNote } from '../notes.js';
import { SERVICES, compareWithBaseline } from '../baseline_comparison.js';

const VERSIONS = 60;
const GAP_MS = 60;
const DEADLINE_MS = 10_000;
const INSPECTED_PER_VERSION = 5;

interface Run {
  readonly times: LatencyHistogram;
  readonly callsPerChange: number;
  readonly late: number;
  readonly rollbacks: number;
}

/** Time from submission until the last proxy is observed to hold the version. */
export class Convergence extends Experiment {
  readonly name = 'convergence';

  #dangling = 0;

  #partial = 0;

  async run(options: Options): Promise<Result> {
    const { processes, progress } = options;
    const { daemons, baseline } = await compareWithBaseline(
      this.clock,
      options,
      'convergence',
      (deployment) => {
        progress(`${VERSIONS} versions`);
        return this.#measure(deployment);
      },
    );
    return {
      processes,
      versions: VERSIONS,
      p50Ms: rounded(daemons.times.percentile(50)),
      p99Ms: rounded(daemons.times.percentile(99)),
      baselineP50Ms: rounded(baseline.times.percentile(50)),
      baselineP99Ms: rounded(baseline.times.percentile(99)),
      sourceCallsPerChange: rounded(daemons.callsPerChange),
      baselineSourceCallsPerChange: rounded(baseline.callsPerChange),
      late: daemons.late,
      baselineLate: baseline.late,
      rollbacks: daemons.rollbacks,
      dangling: this.#dangling,
      partial: this.#partial,
    };
  }

  async #measure(deployment: Deployment): Promise<Run> {
    const times = new LatencyHistogram();
    const port = deployment.platform.ports.port!;
    const callsBefore = await platformCalls(port);
    let late = 0;
    for (let turn = 1; turn <= VERSIONS; turn++) {
      const next = turn + 1;
      const deadline = this.clock.now() + DEADLINE_MS;
      const waits = deployment.proxies.map((proxy) =>
        deployment.waitUntilHeld(proxy, next, deadline),
      );
      const submittedAt = this.clock.now();
      await deployment.submit(changeNote(turn, SERVICES));
      const instants = await Promise.all(waits);
      if (instants.includes(undefined)) late += 1;
      else times.add(Math.max(...(instants as number[])) - submittedAt);
      if (deployment instanceof DaemonDeployment) await this.#inspectSome(deployment, turn);
      await this.clock.sleepUntil(this.clock.now() + GAP_MS);
    }
    const calls = (await platformCalls(port)) - callsBefore;
    const { rollbacks } = deployment;
    return { times, callsPerChange: calls / VERSIONS, late, rollbacks };
  }

  async #inspectSome(deployment: DaemonDeployment, turn: number): Promise<void> {
    const { proxies } = deployment;
    const some = Array.from(
      { length: INSPECTED_PER_VERSION },
      (_, offset) => proxies[(turn * INSPECTED_PER_VERSION + offset) % proxies.length] as Proxy,
    );
    for (const proxy of some) {
      const { isDigestValid, isConfigurationValid } = await deployment.inspect(proxy);
      if (!isDigestValid) this.#partial += 1;
      if (!isConfigurationValid) this.#dangling += 1;
    }
  }
}

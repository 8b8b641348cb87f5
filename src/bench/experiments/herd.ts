import {
  BaselineDeployment,
  type Deployment,
  DaemonDeployment,
  type Proxy,
} from '../deployment.js';
import { Experiment, type Options, type Result } from '../experiment.js';
import { getJson, platformCalls } from '../json_client.js';
import { changeNote } from '../notes.js';
import { SERVICES, compareWithBaseline } from '../baseline_comparison.js';

const DEADLINE_MS = 30_000;
const SETTLE_MS = 3_000;
const SAMPLE_MS = 100;
const WINDOW_SAMPLES = 10;
const RESTARTED_AT_ONCE = 16;

/** Kills half of all processes at once and restarts them while the configuration changes. */
export class Herd extends Experiment {
  readonly name = 'herd';

  async run(options: Options): Promise<Result> {
    const { processes, progress } = options;
    const killed = Math.ceil(processes / 2);
    const { daemons, baseline } = await compareWithBaseline(
      this.clock,
      options,
      'convergence',
      (deployment) => this.#killAndRestart(deployment, killed, progress),
    );
    return {
      processes,
      killed,
      recoveredMs: Math.round(daemons.recoveredMs),
      baselineRecoveredMs: Math.round(baseline.recoveredMs),
      peakSourceCallsPerSecond: daemons.peak,
      baselinePeakSourceCallsPerSecond: baseline.peak,
      rollbacks: daemons.rollbacks,
    };
  }

  async #killAndRestart(
    deployment: DaemonDeployment | BaselineDeployment,
    killed: number,
    progress: (text: string) => void,
  ): Promise<{ recoveredMs: number; peak: number; rollbacks: number }> {
    await this.clock.sleepUntil(this.clock.now() + SETTLE_MS);
    const killedProxies = deployment.proxies.slice(0, killed);
    const watch = new PlatformCallRate(deployment, this.clock);
    progress(`killing ${killed}`);
    await Promise.all(killedProxies.map(({ program }) => program.kill()));
    await restartAll(deployment, killedProxies);
    const startedAt = this.clock.now();
    const survivor = deployment.proxies.at(-1) as Proxy;
    const number = await this.#submitThrough(deployment, survivor);
    const deadline = this.clock.now() + DEADLINE_MS;
    progress('recovering');
    await deployment.waitUntilHeldEverywhere(number);
    if (deployment instanceof DaemonDeployment) await this.#waitUntilAllReady(deployment, deadline);
    const recoveredMs = this.clock.now() - startedAt;
    await this.clock.sleepUntil(this.clock.now() + SETTLE_MS);
    const { rollbacks } = deployment;
    return { recoveredMs, peak: await watch.stop(), rollbacks };
  }

  async #submitThrough(
    deployment: DaemonDeployment | BaselineDeployment,
    survivor: Proxy,
  ): Promise<number> {
    if (deployment instanceof BaselineDeployment) return deployment.submit();
    return deployment.submit(changeNote(1, SERVICES), survivor);
  }

  async #waitUntilAllReady(deployment: DaemonDeployment, deadline: number): Promise<void> {
    for (const { program } of deployment.proxies) {
      while (!(await isReady(program.ports.operatorsPort!))) {
        if (this.clock.now() > deadline)
          throw new Error(`not all daemons were ready within ${DEADLINE_MS} ms`);
        await this.clock.sleepUntil(this.clock.now() + SAMPLE_MS);
      }
    }
  }
}

async function isReady(port: number): Promise<boolean> {
  return (await getJson<{ ready: boolean }>(port, '/ready')).ready;
}

async function restartAll(
  deployment: DaemonDeployment | BaselineDeployment,
  proxies: readonly Proxy[],
): Promise<void> {
  for (let from = 0; from < proxies.length; from += RESTARTED_AT_ONCE) {
    const some = proxies.slice(from, from + RESTARTED_AT_ONCE);
    await Promise.all(some.map((proxy) => deployment.restart(proxy)));
  }
}

/** Peak number of platform calls in any one second, sampled from the stand-in's counter. */
class PlatformCallRate {
  readonly #samples: number[] = [];

  readonly #stopping = new AbortController();

  readonly #sampling: Promise<void>;

  constructor(deployment: Deployment, clock: Deployment['clock']) {
    this.#sampling = this.#sample(deployment.platform.ports.port!, clock);
  }

  async stop(): Promise<number> {
    this.#stopping.abort();
    await this.#sampling;
    let peak = 0;
    for (let index = 0; index < this.#samples.length; index++) {
      const from = Math.max(0, index - WINDOW_SAMPLES);
      peak = Math.max(peak, this.#samples[index]! - this.#samples[from]!);
    }
    return peak;
  }

  async #sample(port: number, clock: Deployment['clock']): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      this.#samples.push(await platformCalls(port));
      await clock.sleepUntil(clock.now() + SAMPLE_MS, this.#stopping.signal);
    }
  }
}

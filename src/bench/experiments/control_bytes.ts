import { type Deployment, DaemonDeployment } from '../deployment.js';
import { Experiment, type Options, type Result, rounded } from '../experiment.js';
import { changeNote } from '../notes.js';
import { SERVICES, compareWithBaseline } from '../baseline_comparison.js';
import { type IdleUsage, measureIdle } from '../idle_usage.js';

const VERSIONS = 10;
const IDLE_MS = 10_000;
const SETTLE_MS = 4_000;
const MS_PER_SECOND = 1_000;

/** Socket bytes while idle and per change, with the `bytes` profile. */
export class ControlBytes extends Experiment {
  readonly name = 'control-bytes';

  async run(options: Options): Promise<Result> {
    const { processes, progress } = options;
    const { daemons, baseline } = await compareWithBaseline(
      this.clock,
      options,
      'bytes',
      (deployment) => this.#measure(deployment, progress),
    );
    return {
      processes,
      bytesPerChange: Math.round(daemons.perChange),
      baselineBytesPerChange: Math.round(baseline.perChange),
      idleBytesPerSecondPerProcess: Math.round(daemons.idle.bytesPerSecond),
      cpuPercentPerProcess: rounded(daemons.idle.cpuPercent),
      rssMb: rounded(daemons.idle.rssMb, 1),
      baselineIdleBytesPerSecondPerProcess: Math.round(baseline.idle.bytesPerSecond),
    };
  }

  async #measure(deployment: Deployment, progress: Options['progress']) {
    // Daemons first join the mesh; baseline proxies have no mesh.
    if (deployment instanceof DaemonDeployment)
      await this.clock.sleepUntil(this.clock.now() + SETTLE_MS);
    progress('idle');
    const idle = await measureIdle(deployment, IDLE_MS);
    progress(`${VERSIONS} versions`);
    return { idle, perChange: await this.#perChange(deployment, idle) };
  }

  /** Bytes received by all proxies per change, beyond what they receive while idle. */
  async #perChange(deployment: Deployment, idle: IdleUsage): Promise<number> {
    const received = async () =>
      (await deployment.usage()).reduce((sum, { readBytes }) => sum + readBytes, 0);
    const before = await received();
    const startedAt = this.clock.now();
    for (let turn = 1; turn <= VERSIONS; turn++) {
      await deployment.submitAndWait(changeNote(turn, SERVICES));
    }
    const seconds = (this.clock.now() - startedAt) / MS_PER_SECOND;
    const idleReceived = (idle.bytesPerSecond / 2) * deployment.proxies.length * seconds;
    return ((await received()) - before - idleReceived) / VERSIONS;
  }
}

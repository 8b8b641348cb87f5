import { type DeploymentOptions, DaemonDeployment } from '../deployment.js';
import { Experiment, type Options, type Result, rounded, LatencyHistogram } from '../experiment.js';
import { platformCalls } from '../json_client.js';
import { measureIdle } from '../idle_usage.js';
import { changeNote } from '../notes.js';

const SETTLE_MS = 2_000;
const IDLE_MS = 3_000;
const VERSIONS = 6;
const MS_PER_SECOND = 1_000;

/** The size of one deployment. */
interface Point {
  readonly processes: number;
  readonly dataCentres: number;
  readonly services: number;
}

/** Measures costs at several deployment sizes, one quantity varied at a time. */
export class Slopes extends Experiment {
  readonly name = 'slopes';

  override readonly defaultProcesses = 60;

  async run({ processes, progress }: Options): Promise<Result> {
    const points = pointsUpTo(processes);
    const results: Result[] = [];
    for (const point of points) {
      progress(JSON.stringify(point));
      results.push({ ...point, ...(await this.#measure(point)) });
    }
    return { processes, points: results };
  }

  async #measure(point: Point): Promise<Result> {
    const options: DeploymentOptions = { ...point, profile: 'convergence' };
    await using deployment = new DaemonDeployment(options, this.clock);
    await deployment.open();
    await this.clock.sleepUntil(this.clock.now() + SETTLE_MS);
    const callsBefore = await this.#countPlatformCalls(deployment);
    const idle = await measureIdle(deployment, IDLE_MS);
    const idleCalls = (await this.#countPlatformCalls(deployment)) - callsBefore;
    const changes = await this.#measureChanges(deployment, point.services, idle.bytesPerSecond);
    return {
      idleBytesPerSecondPerProcess: Math.round(idle.bytesPerSecond),
      cpuPercentPerProcess: rounded(idle.cpuPercent),
      rssMb: rounded(idle.rssMb, 1),
      idlePlatformCallsPerSecond: rounded((idleCalls * MS_PER_SECOND) / IDLE_MS),
      ...changes,
    };
  }

  async #measureChanges(
    deployment: DaemonDeployment,
    services: number,
    idleBytesPerSecond: number,
  ) {
    const before = await totalUsage(deployment);
    const callsBefore = await this.#countPlatformCalls(deployment);
    const times = new LatencyHistogram();
    const startedAt = this.clock.now();
    for (let turn = 1; turn <= VERSIONS; turn++) {
      const submittedAt = this.clock.now();
      await deployment.submitAndWait(changeNote(turn, services));
      times.add(this.clock.now() - submittedAt);
    }
    const seconds = (this.clock.now() - startedAt) / MS_PER_SECOND;
    const after = await totalUsage(deployment);
    const bytes =
      after.bytes - before.bytes - idleBytesPerSecond * deployment.proxies.length * seconds;
    return {
      bytesPerChangePerProcess: Math.round(bytes / VERSIONS / deployment.proxies.length),
      cpuMsPerChangePerProcess: rounded(
        (after.cpuMs - before.cpuMs) / VERSIONS / deployment.proxies.length,
      ),
      platformCallsPerChange: rounded(
        ((await this.#countPlatformCalls(deployment)) - callsBefore) / VERSIONS,
      ),
      convergenceP50Ms: rounded(times.percentile(50)),
    };
  }

  #countPlatformCalls(deployment: DaemonDeployment): Promise<number> {
    return platformCalls(deployment.platform.ports.port!);
  }
}

async function totalUsage(deployment: DaemonDeployment): Promise<{ bytes: number; cpuMs: number }> {
  let bytes = 0;
  let cpuMs = 0;
  for (const usage of await deployment.usage()) {
    bytes += usage.readBytes + usage.writtenBytes;
    cpuMs += usage.cpuMs;
  }
  return { bytes, cpuMs };
}

function pointsUpTo(processes: number): Point[] {
  const quarter = Math.max(2, Math.round(processes / 4));
  const half = Math.max(2, Math.round(processes / 2));
  return [
    { processes: quarter, dataCentres: 5, services: 110 },
    { processes: half, dataCentres: 5, services: 110 },
    { processes, dataCentres: 5, services: 110 },
    { processes: quarter, dataCentres: 1, services: 110 },
    { processes: quarter, dataCentres: 5, services: 10 },
    { processes: quarter, dataCentres: 5, services: 300 },
  ];
}

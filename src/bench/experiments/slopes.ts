import { type DeploymentOptions, Ours } from '../deployment.js';
import { Experiment, type Options, type Result, rounded, Times } from '../experiment.js';
import { platformCalls } from '../http.js';
import { idleOf } from '../idle.js';
import { changingNote } from '../notes.js';

const SETTLE_MS = 2_000;
const IDLE_MS = 3_000;
const VERSIONS = 6;
const MS_PER_SECOND = 1_000;

/** One deployment with one quantity varied. */
interface Point {
  readonly processes: number;
  readonly dataCentres: number;
  readonly services: number;
}

/** The same quantities at several sizes, for `docs/CAPACITY.md`. */
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
    await using ours = new Ours(options, this.clock);
    await ours.open();
    await this.clock.sleepUntil(this.clock.now() + SETTLE_MS);
    const callsBefore = await this.#calls(ours);
    const idle = await idleOf(ours, IDLE_MS);
    const idleCalls = (await this.#calls(ours)) - callsBefore;
    const changes = await this.#changes(ours, point.services, idle.bytesPerSecond);
    return {
      idleBytesPerSecondPerProcess: Math.round(idle.bytesPerSecond),
      cpuPercentPerProcess: rounded(idle.cpuPercent),
      rssMb: rounded(idle.rssMb, 1),
      idlePlatformCallsPerSecond: rounded((idleCalls * MS_PER_SECOND) / IDLE_MS),
      ...changes,
    };
  }

  async #changes(ours: Ours, services: number, idleBytesPerSecond: number) {
    const before = await total(ours);
    const callsBefore = await this.#calls(ours);
    const times = new Times();
    const startedAt = this.clock.now();
    for (let turn = 1; turn <= VERSIONS; turn++) {
      const handedInAt = this.clock.now();
      await ours.putInForce(changingNote(turn, services));
      times.add(this.clock.now() - handedInAt);
    }
    const seconds = (this.clock.now() - startedAt) / MS_PER_SECOND;
    const after = await total(ours);
    const bytes = after.bytes - before.bytes - idleBytesPerSecond * ours.proxies.length * seconds;
    return {
      bytesPerChangePerProcess: Math.round(bytes / VERSIONS / ours.proxies.length),
      cpuMsPerChangePerProcess: rounded(
        (after.cpuMs - before.cpuMs) / VERSIONS / ours.proxies.length,
      ),
      platformCallsPerChange: rounded(((await this.#calls(ours)) - callsBefore) / VERSIONS),
      convergenceP50Ms: rounded(times.at(50)),
    };
  }

  #calls(ours: Ours): Promise<number> {
    return platformCalls(ours.platform.ports.port!);
  }
}

async function total(ours: Ours): Promise<{ bytes: number; cpuMs: number }> {
  let bytes = 0;
  let cpuMs = 0;
  for (const usage of await ours.usage()) {
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

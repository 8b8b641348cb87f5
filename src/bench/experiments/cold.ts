import { MeshFleet } from '../mesh_fleet.js';
import { Experiment, type Options, type Result, rounded } from '../experiment.js';
import { Program } from '../processes.js';

const DATA_CENTRES = 3;
const SERVICES = ['listings', 'bookings', 'files'] as const;
const ROUTES = 1_126;
const DELAY_MS = 20;
const ANSWER_BYTES = 5_000;
/** Load of one process in a large fleet: too low for the JIT compiler to optimise much. */
const CALLS_PER_SECOND = 15;
/** Numbers of requests per process, from its first, after which its CPU time is read. */
const REQUEST_COUNTS = [30, 300, 1_000] as const;
const SETTLE_MS = 10_000;
const IDLE_MS = 10_000;
const VERSIONS = 5;
const VERSION_MS = 1_000;
const BARE_MS = 1_000;
const MS_PER_SECOND = 1_000;

/**
 * CPU time of a process of the platform's build, in milliseconds, for its start, an idle second, a
 * new version and the first requests, while the code is still cold.
 */
export class Cold extends Experiment {
  readonly name = 'cold';

  override readonly defaultProcesses = 12;

  async run({ processes, progress }: Options): Promise<Result> {
    const bareNodeMs = await this.#measureBareNode();
    await using fleet = await MeshFleet.start(this.clock, {
      processes,
      dataCentres: DATA_CENTRES,
      services: SERVICES,
      routes: ROUTES,
      delayMs: DELAY_MS,
      bytes: ANSWER_BYTES,
    });
    const cpuMsPerProcess = async () => (await fleet.cpuMs()) / processes;
    progress('start');
    await fleet.waitUntilReady();
    const readyMs = await cpuMsPerProcess();
    await this.#sleep(SETTLE_MS);
    const settledMs = await cpuMsPerProcess();
    progress('idle');
    await this.#sleep(IDLE_MS);
    const idleMsPerSecond = ((await cpuMsPerProcess()) - settledMs) / (IDLE_MS / MS_PER_SECOND);
    progress('versions');
    const versionMs = await this.#measureVersions(fleet, cpuMsPerProcess, idleMsPerSecond);
    progress('requests');
    const requests = await this.#measureRequests(fleet, cpuMsPerProcess, idleMsPerSecond);
    return {
      processes,
      bareNodeMs: rounded(bareNodeMs),
      readyMs: rounded(readyMs),
      settledMs: rounded(settledMs),
      idleMsPerSecond: rounded(idleMsPerSecond),
      versionMs: rounded(versionMs),
      ...requests,
    };
  }

  async #measureBareNode(): Promise<number> {
    await using bare = Program.launch('node', ['-e', 'setInterval(() => {}, 1e6)'], '.', {});
    await this.#sleep(BARE_MS);
    return (await bare.usage()).cpuMs;
  }

  async #measureVersions(
    fleet: MeshFleet,
    cpuMsPerProcess: () => Promise<number>,
    idleMsPerSecond: number,
  ): Promise<number> {
    const before = await cpuMsPerProcess();
    for (let version = 1; version <= VERSIONS; version++) {
      await fleet.publishVersion();
      await this.#sleep(VERSION_MS);
    }
    return (
      ((await cpuMsPerProcess()) - before) / VERSIONS -
      (idleMsPerSecond * VERSION_MS) / MS_PER_SECOND
    );
  }

  /** On average, each process is entry for as many requests as it is guard for. */
  async #measureRequests(
    fleet: MeshFleet,
    cpuMsPerProcess: () => Promise<number>,
    idleMsPerSecond: number,
  ): Promise<Result> {
    const startedAt = this.clock.now();
    const before = await cpuMsPerProcess();
    const figures: Record<string, number> = {};
    let asked = 0;
    let served = 0;
    const pending = new Set<Promise<void>>();
    const sendOne = async (index: number) => {
      if (await fleet.call(index, asked % ROUTES)) served += 1;
    };
    for (const requestCount of REQUEST_COUNTS) {
      for (; asked < requestCount * fleet.machines.length; asked++) {
        const dueAt =
          startedAt + (asked * MS_PER_SECOND) / (CALLS_PER_SECOND * fleet.machines.length);
        await this.clock.sleepUntil(dueAt);
        const call = sendOne(asked % fleet.machines.length).finally(() => pending.delete(call));
        pending.add(call);
      }
      const idleMs = (idleMsPerSecond * (this.clock.now() - startedAt)) / MS_PER_SECOND;
      figures[`first${requestCount}MsEach`] = rounded(
        ((await cpuMsPerProcess()) - before - idleMs) / requestCount,
      );
    }
    await Promise.all(pending);
    return { ...figures, asked, served };
  }

  #sleep(ms: number): Promise<void> {
    return this.clock.sleepUntil(this.clock.now() + ms);
  }
}

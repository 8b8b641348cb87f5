import { MeshFleet } from '../mesh_fleet.js';
import { Experiment, type Options, type Result, rounded } from '../experiment.js';
import { Program } from '../processes.js';

const DATA_CENTRES = 3;
const SERVICES = ['listings', 'bookings', 'files'] as const;
const ROUTES = 1_126;
const DELAY_MS = 20;
const ANSWER_BYTES = 5_000;
/** What a process sees in a large fleet: so few that nothing gets warm. */
const CALLS_PER_SECOND = 15;
/** Requests of each process, counted from its first, after which its processor time is looked at. */
const STEPS = [30, 300, 1_000] as const;
const SETTLE_MS = 10_000;
const IDLE_MS = 10_000;
const VERSIONS = 5;
const VERSION_MS = 1_000;
const BARE_MS = 1_000;
const MS_PER_SECOND = 1_000;

/**
 * Processor time of one process of the platform's build, in milliseconds, from its start on: what
 * a start, an idle second, a version and the first requests cost while the code is still cold.
 */
export class Cold extends Experiment {
  readonly name = 'cold';

  override readonly defaultProcesses = 12;

  async run({ processes, progress }: Options): Promise<Result> {
    const bareNodeMs = await this.#bareNode();
    await using fleet = await MeshFleet.start(this.clock, {
      processes,
      dataCentres: DATA_CENTRES,
      services: SERVICES,
      routes: ROUTES,
      delayMs: DELAY_MS,
      bytes: ANSWER_BYTES,
    });
    const each = async () => (await fleet.cpuMs()) / processes;
    progress('start');
    await fleet.ready();
    const readyMs = await each();
    await this.#pass(SETTLE_MS);
    const settledMs = await each();
    progress('idle');
    await this.#pass(IDLE_MS);
    const idleMsPerSecond = ((await each()) - settledMs) / (IDLE_MS / MS_PER_SECOND);
    progress('versions');
    const versionMs = await this.#versions(fleet, each, idleMsPerSecond);
    progress('requests');
    const requests = await this.#requests(fleet, each, idleMsPerSecond);
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

  async #bareNode(): Promise<number> {
    await using bare = Program.launch(['-e', 'setInterval(() => {}, 1e6)'], '.', {});
    await this.#pass(BARE_MS);
    return (await bare.usage()).cpuMs;
  }

  async #versions(fleet: MeshFleet, each: () => Promise<number>, idle: number): Promise<number> {
    const before = await each();
    for (let version = 1; version <= VERSIONS; version++) {
      await fleet.accept();
      await this.#pass(VERSION_MS);
    }
    return ((await each()) - before) / VERSIONS - (idle * VERSION_MS) / MS_PER_SECOND;
  }

  /** Each process is an entry for as many requests as it guards, on average. */
  async #requests(fleet: MeshFleet, each: () => Promise<number>, idle: number): Promise<Result> {
    const startedAt = this.clock.now();
    const before = await each();
    const figures: Record<string, number> = {};
    let asked = 0;
    let served = 0;
    const pending = new Set<Promise<void>>();
    const ask = async (index: number) => {
      if (await fleet.call(index, asked % ROUTES)) served += 1;
    };
    for (const step of STEPS) {
      for (; asked < step * fleet.machines.length; asked++) {
        const dueAt =
          startedAt + (asked * MS_PER_SECOND) / (CALLS_PER_SECOND * fleet.machines.length);
        await this.clock.sleepUntil(dueAt);
        const call = ask(asked % fleet.machines.length).finally(() => pending.delete(call));
        pending.add(call);
      }
      const idleMs = (idle * (this.clock.now() - startedAt)) / MS_PER_SECOND;
      figures[`first${step}MsEach`] = rounded(((await each()) - before - idleMs) / step);
    }
    await Promise.all(pending);
    return { ...figures, asked, served };
  }

  #pass(ms: number): Promise<void> {
    return this.clock.sleepUntil(this.clock.now() + ms);
  }
}

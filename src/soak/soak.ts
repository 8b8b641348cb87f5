/** Runs a fleet of real processes under faults drawn from a seed, and judges what callers saw. */
import { setMaxListeners } from 'node:events';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { type MeshFleet } from '../bench/mesh_fleet.js';
import { describeEnd } from '../bench/process_end.js';
import { Program } from '../bench/processes.js';
import { Caller, type CallerOptions } from '../bench/stops/caller.js';
import { type Clock } from '../runtime/clock.js';
import { SeededRandom } from '../runtime/random.js';
import { BUSY_NAME, BusyProcesses } from './busy_processes.js';
import { FaultPlayer } from './fault_player.js';
import { PipelinedCaller } from './pipelined_caller.js';
import { scheduleOf } from './schedule.js';
import { type Verdict, verdictOf } from './verdict.js';

export interface SoakOptions {
  readonly seed: number;
  /** Time for which faults begin. */
  readonly seconds: number;
  /** Processes that keep the machine busy meanwhile. */
  readonly busy: number;
}

export type SoakResult = Verdict & {
  readonly failures: readonly string[];
  /** Longest delay of a timer of the harness: signals and the ends of calls were seen that late. */
  readonly harnessDelayMs: number;
};

const MS_PER_SECOND = 1_000;
const NS_PER_MS = 1_000_000;
/** Time after the last fault within which each machine has to serve, in milliseconds. */
const SERVE_TIMEOUT_MS = 30_000;
const POLL_MS = 100;
const PIPELINED_CALLERS = 2;
/** Callers per machine, by what they do. */
const CALLERS: readonly { count: number; options: Omit<CallerOptions, 'machine'> }[] = [
  { count: 3, options: { keepsConnection: true, workMs: [10, 600] } },
  { count: 2, options: { keepsConnection: false, workMs: [10, 300] } },
  { count: 2, options: { keepsConnection: true, workMs: [2_400, 3_800] } },
];

export class Soak {
  constructor(
    private readonly fleet: MeshFleet,
    private readonly options: SoakOptions,
    private readonly clock: Clock,
    private readonly progress: (text: string) => void,
  ) {}

  async run(): Promise<SoakResult> {
    const { fleet, clock, progress } = this;
    const { seed, seconds, busy } = this.options;
    const runMs = seconds * MS_PER_SECOND;
    await fleet.waitUntilReady();
    await using busyProcesses = new BusyProcesses(busy, runMs);
    const delays = monitorEventLoopDelay();
    delays.enable();
    const schedule = scheduleOf({ seed, machines: fleet.machines.length, runMs });
    const player = await FaultPlayer.open(fleet, schedule, clock);
    const [calling, supervising] = [new AbortController(), new AbortController()];
    // One listener per caller; Node.js logs a warning above ten by default.
    setMaxListeners(0, calling.signal);
    const callers = this.#callers(new SeededRandom(seed));
    const called = callers.map((caller) => caller.run(calling.signal));
    const supervised = player.supervise(supervising.signal);
    progress(`${schedule.faults.length} faults beside ${busyProcesses.count} busy processes`);
    await player.play();
    progress('ending');
    calling.abort();
    await Promise.all(called);
    const notServing = await this.#notServing();
    supervising.abort();
    await supervised;
    const verdict = verdictOf(
      fleet,
      callers.flatMap(({ calls }) => calls),
      player.settings.gaps,
    );
    // The verdict judges those of the fleet.
    const others = Program.takeUnaskedEnds().filter(({ name }) => name.startsWith(BUSY_NAME));
    const failures = [
      ...others.map(describeEnd),
      ...verdict.unasked,
      ...verdict.lost,
      ...verdict.cut,
      ...notServing,
    ];
    const harnessDelayMs = Math.round(delays.max / NS_PER_MS);
    return { ...verdict, harnessDelayMs, failures };
  }

  /** Machines that do not serve a request some time after the last fault. */
  async #notServing(): Promise<string[]> {
    const deadline = this.clock.now() + SERVE_TIMEOUT_MS;
    const missing = new Set(this.fleet.machines.keys());
    while (missing.size > 0 && this.clock.now() < deadline) {
      for (const machine of missing) {
        if (await this.fleet.call(machine, machine).catch(() => false)) missing.delete(machine);
      }
      await this.clock.sleepUntil(this.clock.now() + POLL_MS);
    }
    return [...missing].map((machine) => `machine-${machine} does not serve after the last fault`);
  }

  #callers(random: SeededRandom): (Caller | PipelinedCaller)[] {
    return this.fleet.machines.flatMap((_, machine) => [
      ...CALLERS.flatMap(({ count, options }, kind) =>
        named(count, `caller-${machine}-${kind}`).map(
          (name) => new Caller(name, this.fleet, { ...options, machine }, this.clock, random),
        ),
      ),
      ...named(PIPELINED_CALLERS, `pipelined-${machine}`).map(
        (name) => new PipelinedCaller(name, this.fleet, machine, this.clock, random),
      ),
    ]);
  }
}

function named(count: number, prefix: string): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
}

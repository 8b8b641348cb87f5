/** Runs a fleet of real processes under faults drawn from a seed, and judges what callers saw. */
import { setMaxListeners } from 'node:events';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { type MeshFleet } from '../bench/mesh_fleet.js';
import { Program } from '../bench/processes.js';
import { Caller, type CallerOptions, type CallRecord } from '../bench/stops/caller.js';
import { type Clock } from '../runtime/clock.js';
import { SeededRandom } from '../runtime/random.js';
import { BusyProcesses } from './busy_processes.js';
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
/** Callers state that they wait for 8 s. */
const CALL_TIMEOUT_MS = 9_000;
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
    const { fleet, clock, options } = this;
    const runMs = options.seconds * MS_PER_SECOND;
    const schedule = scheduleOf({ seed: options.seed, machines: fleet.machines.length, runMs });
    const player = await FaultPlayer.open(fleet, schedule, clock);
    const supervising = new AbortController();
    const supervised = player.supervise(supervising.signal);
    await fleet.waitUntilReady();
    const delays = monitorEventLoopDelay();
    delays.enable();
    this.progress(`${schedule.faults.length} faults`);
    const calls = await this.#callDuring(player, runMs);
    this.progress('ending');
    const notServing = await this.#notServing();
    supervising.abort();
    await supervised;
    const verdict = verdictOf(fleet, calls, player.settings.gaps);
    const { unasked, lost, cut } = verdict;
    // The verdict has judged the ends of the fleet.
    Program.takeUnaskedEnds();
    return {
      ...verdict,
      harnessDelayMs: Math.round(delays.max / NS_PER_MS),
      failures: [...unasked, ...lost, ...cut, ...notServing],
    };
  }

  /** Plays all faults while callers send requests. */
  async #callDuring(player: FaultPlayer, runMs: number): Promise<CallRecord[]> {
    const { seed, busy } = this.options;
    await using busyProcesses = new BusyProcesses(busy, runMs);
    const calling = new AbortController();
    // One listener per caller; Node.js logs a warning above ten by default.
    setMaxListeners(0, calling.signal);
    const callers = this.#callers(new SeededRandom(seed));
    const called = callers.map((caller) => caller.run(calling.signal));
    await player.play();
    calling.abort();
    // A process that blocks answers no request; it does not serve after the last fault either.
    await this.#withTimeout(Promise.all(called));
    this.progress(`${busyProcesses.count} busy processes end`);
    return callers.flatMap(({ calls }) => calls);
  }

  /** Machines that do not serve a request some time after the last fault. */
  async #notServing(): Promise<string[]> {
    const deadline = this.clock.now() + SERVE_TIMEOUT_MS;
    const missing = new Set(this.fleet.machines.keys());
    while (missing.size > 0 && this.clock.now() < deadline) {
      for (const machine of missing) {
        const served = this.fleet.call(machine, machine).catch(() => false);
        if (await this.#withTimeout(served)) missing.delete(machine);
      }
      await this.clock.sleepUntil(this.clock.now() + POLL_MS);
    }
    return [...missing].map((machine) => `machine-${machine} does not serve after the last fault`);
  }

  /** Resolves to undefined if the task takes longer than any call may. */
  async #withTimeout<T>(task: Promise<T>): Promise<T | void> {
    const ended = new AbortController();
    const timeout = this.clock.sleepUntil(this.clock.now() + CALL_TIMEOUT_MS, ended.signal);
    const result = await Promise.race([task, timeout]);
    ended.abort();
    return result;
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

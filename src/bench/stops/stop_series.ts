/** Stops and restarts processes in a random order, by signals that also come twice or overlap. */
import { once } from 'node:events';
import { type MeshFleet } from '../mesh_fleet.js';
import { type Program } from '../processes.js';
import { type Clock } from '../../runtime/clock.js';
import { type Random } from '../../runtime/random.js';

/** Time after `SIGTERM` at which the platform kills a process, in milliseconds. */
export const GRACE_MS = 6_000;
/** Longest time between two stops of a worker. */
const MAX_GAP_MS = 2_500;
/** Longest time from the first signal to the second, or to a pause. */
const MAX_REPEAT_MS = 3_000;
const MAX_PAUSE_MS = 1_500;
/** Shares of the stops with a second signal, with a reload before, and with a pause. */
const REPEAT_SHARE = 0.4;
const RELOAD_SHARE = 0.3;
const PAUSE_SHARE = 0.2;

/** One planned stop of a process. */
export interface Stop {
  readonly machine: number;
  /** Instants in milliseconds since the epoch. */
  readonly signalledAt: number;
  readonly exitedAt: number;
  /** Undefined if the process was killed. */
  readonly exitCode: number | undefined;
  /** Whether it was paused meanwhile, which no stop has to make up for. */
  readonly isPaused: boolean;
}

export class StopSeries {
  readonly stops: Stop[] = [];

  /** Machines whose process is stopping or starting. */
  readonly #busy = new Set<number>();

  constructor(
    private readonly fleet: MeshFleet,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Stops machines until the signal aborts; up to two at a time. */
  async run(signal: AbortSignal): Promise<void> {
    const worker = async () => {
      while (!signal.aborted) await this.#stopOne();
    };
    await Promise.all([worker(), worker()]);
  }

  async #stopOne(): Promise<void> {
    const { random, fleet } = this;
    await this.#sleep(random.jitter(MAX_GAP_MS));
    const machine = random.below(fleet.machines.length);
    if (this.#busy.has(machine)) return;
    this.#busy.add(machine);
    const isPaused = random.next() < PAUSE_SHARE;
    const program = fleet.programs[machine]!;
    const exited = once(program.child, 'exit') as Promise<[number | null]>;
    if (random.next() < RELOAD_SHARE) program.signal('SIGHUP');
    program.signal('SIGTERM');
    const signalledAt = this.clock.now();
    const killTimer = setTimeout(() => program.signal('SIGKILL'), GRACE_MS);
    if (random.next() < REPEAT_SHARE) {
      setTimeout(() => program.signal('SIGTERM'), random.jitter(MAX_REPEAT_MS));
    }
    if (isPaused) void this.#pause(program);
    const [exitCode] = await exited;
    clearTimeout(killTimer);
    const exitedAt = this.clock.now();
    this.stops.push({ machine, signalledAt, exitedAt, exitCode: exitCode ?? undefined, isPaused });
    await fleet.restart(machine);
    await fleet.waitUntilReady();
    this.#busy.delete(machine);
  }

  async #pause(program: Program): Promise<void> {
    await this.#sleep(this.random.jitter(MAX_REPEAT_MS));
    program.signal('SIGSTOP');
    await this.#sleep(this.random.jitter(MAX_PAUSE_MS));
    program.signal('SIGCONT');
  }

  #sleep(ms: number): Promise<void> {
    return this.clock.sleepUntil(this.clock.now() + ms);
  }
}

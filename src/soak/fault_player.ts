/** Plays a schedule of faults on a fleet, and starts its processes again whenever they end. */
import { once } from 'node:events';
import { type MeshFleet } from '../bench/mesh_fleet.js';
import { GRACE_MS } from '../bench/stops/stop_series.js';
import { type Clock } from '../runtime/clock.js';
import { type Fault, type PlannedStart, type Schedule } from './schedule.js';

/** Start of a process after the planned ones. */
const LATE_START: PlannedStart = { delayMs: 0, reloadsMs: [] };

export class FaultPlayer {
  constructor(
    private readonly fleet: MeshFleet,
    private readonly schedule: Schedule,
    private readonly clock: Clock,
  ) {}

  /** Plays all faults; resolves when the last one has begun. */
  async play(): Promise<void> {
    const startedAt = this.clock.now();
    for (const { atMs, fault } of this.schedule.faults) {
      await this.clock.sleepUntil(startedAt + atMs);
      void this.#begin(fault);
    }
  }

  /** Starts every process that has ended again, as the platform does, until the signal aborts. */
  async supervise(signal: AbortSignal): Promise<void> {
    const stopped = once(signal, 'abort');
    await Promise.all(
      this.fleet.machines.map((_, machine) => this.#superviseOne(machine, stopped, signal)),
    );
  }

  async #superviseOne(
    machine: number,
    stopped: Promise<unknown>,
    signal: AbortSignal,
  ): Promise<void> {
    for (let count = 0; ; count++) {
      await Promise.race([this.fleet.programs[machine]!.ended, stopped]);
      if (signal.aborted) return;
      const { delayMs, reloadsMs } = this.schedule.starts[machine]![count] ?? LATE_START;
      await this.clock.sleepUntil(this.clock.now() + delayMs);
      const program = await this.fleet.relaunch(machine);
      for (const ms of reloadsMs) setTimeout(() => program.signal('SIGHUP'), ms);
    }
  }

  async #begin(fault: Fault): Promise<void> {
    const { fleet } = this;
    if (fault.kind === 'version') await fleet.publishVersion();
    else if (fault.kind === 'restart') await this.#stop(fault.machine, fault.signal);
    else fault.machines.forEach((machine) => fleet.programs[machine]!.signal('SIGHUP'));
  }

  /** Asks a process to end, and kills it when the grace period of the platform is over. */
  async #stop(machine: number, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const program = this.fleet.programs[machine]!;
    program.signal(signal);
    const ended = new AbortController();
    void program.ended.then(() => ended.abort());
    await this.clock.sleepUntil(this.clock.now() + GRACE_MS, ended.signal);
    if (!program.end) program.signal('SIGKILL');
  }
}

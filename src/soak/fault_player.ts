/** Plays a schedule of faults on a fleet, and starts its processes again whenever they end. */
import { once } from 'node:events';
import PQueue from 'p-queue';
import { type MeshFleet } from '../bench/mesh_fleet.js';
import { GRACE_MS } from '../bench/stops/stop_series.js';
import { type Clock } from '../runtime/clock.js';
import { sendOddly } from './odd_caller.js';
import { type Fault, type PlannedStart, type Schedule } from './schedule.js';
import { SettingsWriter } from './settings_writer.js';

/** Start of a process after the planned ones. */
const LATE_START: PlannedStart = { delayMs: 0, reloadsMs: [], halfMs: 0 };

export class FaultPlayer {
  readonly #versions = new PQueue({ concurrency: 1 });

  private constructor(
    private readonly fleet: MeshFleet,
    private readonly schedule: Schedule,
    private readonly clock: Clock,
    readonly settings: SettingsWriter,
  ) {}

  static async open(fleet: MeshFleet, schedule: Schedule, clock: Clock): Promise<FaultPlayer> {
    const settings = await SettingsWriter.open(fleet, clock);
    return new FaultPlayer(fleet, schedule, clock, settings);
  }

  /** Plays all faults; resolves when all are over, so that the last stopped process has ended. */
  async play(): Promise<void> {
    const startedAt = this.clock.now();
    const played: Promise<unknown>[] = [];
    for (const { atMs, fault } of this.schedule.faults) {
      await this.clock.sleepUntil(startedAt + atMs);
      played.push(this.#play(fault));
    }
    await Promise.all(played);
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
    let written = Promise.resolve();
    for (let count = 0; ; count++) {
      await Promise.race([this.fleet.programs[machine]!.ended, stopped]);
      if (signal.aborted) return written;
      const { delayMs, reloadsMs, halfMs } = this.schedule.starts[machine]![count] ?? LATE_START;
      await this.clock.sleepUntil(this.clock.now() + delayMs);
      const program = this.fleet.relaunch(machine);
      if (halfMs > 0) written = this.settings.write(machine, 'half', halfMs);
      for (const ms of reloadsMs) setTimeout(() => program.signal('SIGHUP'), ms);
    }
  }

  async #play(fault: Fault): Promise<unknown> {
    switch (fault.kind) {
      case 'restart':
        return this.#stop(fault.machine, fault.signal);
      case 'reload':
        return fault.machines.forEach((machine) => this.#reload(machine));
      case 'version':
        return this.#versions.add(() => this.fleet.publishVersion());
      case 'settings':
        return this.settings.write(fault.machine, fault.change, fault.halfMs, () => {
          if (fault.isSignalled) this.#reload(fault.machine);
        });
      case 'upstream':
        return this.fleet.upstreams[fault.machine]!.restart(fault.downMs);
      default: {
        const { host } = this.fleet.machines[fault.machine]!;
        return sendOddly(host, fault.port, fault.request, fault.forMs, this.clock);
      }
    }
  }

  #reload(machine: number): void {
    this.fleet.programs[machine]!.signal('SIGHUP');
  }

  /** Asks a process to end, and kills it when the grace period of the platform is over. */
  async #stop(machine: number, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const program = this.fleet.programs[machine]!;
    program.signal(signal);
    const ended = new AbortController();
    const grace = this.clock.sleepUntil(this.clock.now() + GRACE_MS, ended.signal);
    await Promise.race([program.ended, grace]);
    ended.abort();
    program.signal('SIGKILL');
  }
}

/** A caller that sends one request after the other to one machine, also while that machine stops. */
import { Agent } from 'node:http';
import { type MeshFleet } from '../mesh_fleet.js';
import { type Clock } from '../../runtime/clock.js';
import { type Random } from '../../runtime/random.js';

/** Pause after a request that was not served, in milliseconds. */
const RETRY_MS = 50;
const OK = 200;

/** How a caller behaves. */
export interface CallerOptions {
  /** Index of the machine that it sends to. */
  readonly machine: number;
  /** Whether it keeps its connection for many requests. */
  readonly keepsConnection: boolean;
  /** Range of the time that upstreams work on its requests, in milliseconds. */
  readonly workMs: readonly [least: number, most: number];
}

/** A request and how it ended for its caller. */
export interface CallRecord {
  readonly id: string;
  readonly machine: number;
  /** Process id of the process that it was sent to. */
  readonly pid: number;
  /** In milliseconds since the epoch, as all instants. */
  readonly sentAt: number;
  readonly endedAt: number;
  /** Undefined if no whole response arrived. */
  readonly status: number | undefined;
}

export class Caller {
  readonly calls: CallRecord[] = [];

  constructor(
    private readonly name: string,
    private readonly fleet: MeshFleet,
    private readonly options: CallerOptions,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Sends requests until the signal aborts, and waits for the last one. */
  async run(signal: AbortSignal): Promise<void> {
    const { keepsConnection, machine } = this.options;
    const agent = new Agent({ keepAlive: keepsConnection, maxSockets: 1 });
    for (let count = 0; !signal.aborted; count++) {
      const id = `${this.name}-${count}`;
      const { pid } = this.fleet.programs[machine]!;
      const sentAt = this.clock.now();
      const status = await this.#send(id, agent);
      this.calls.push({ id, machine, pid, sentAt, endedAt: this.clock.now(), status });
      if (status !== OK) await this.clock.sleepUntil(this.clock.now() + RETRY_MS);
    }
    agent.destroy();
  }

  async #send(id: string, agent: Agent): Promise<number | undefined> {
    const { machine, workMs } = this.options;
    const [least, most] = workMs;
    const work = Math.round(least + this.random.jitter(most - least));
    const route = this.random.below(this.fleet.routeCount);
    try {
      return await this.fleet.send(machine, route, id, { agent, workMs: work });
    } catch {
      return undefined;
    }
  }
}

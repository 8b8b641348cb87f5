/** A caller that writes several requests at once on a connection, which it keeps until it closes. */
import { connect, type Socket } from 'node:net';
import { type MeshFleet } from '../bench/mesh_fleet.js';
import { type CallRecord } from '../bench/stops/caller.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { ResponseReader } from './response_reader.js';

const PIPELINED = 3;
const MAX_WORK_MS = 600;
const RETRY_MS = 50;

/** Requests that were written together, and what was received for them. */
interface Batch {
  readonly calls: readonly Pick<CallRecord, 'id' | 'machine' | 'pid' | 'sentAt'>[];
  readonly text: string;
}

export class PipelinedCaller {
  readonly calls: CallRecord[] = [];

  #count = 0;

  constructor(
    private readonly name: string,
    private readonly fleet: MeshFleet,
    private readonly machine: number,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Sends requests until the signal aborts, and waits for the last ones. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { host, port } = this.fleet.requestOf(this.machine, 0, '');
      const socket = connect(port, host).on('error', () => {});
      await this.#useConnection(socket, signal);
      socket.destroy();
      await this.clock.sleepUntil(this.clock.now() + RETRY_MS, signal);
    }
  }

  async #useConnection(socket: Socket, signal: AbortSignal): Promise<void> {
    const reader = new ResponseReader();
    socket.setEncoding('latin1').on('data', (chunk: string) => reader.push(chunk));
    const closed = new Promise<void>((resolve) => {
      socket.once('close', () => resolve());
    });
    while (!signal.aborted && !socket.destroyed) {
      const batch = this.#nextBatch();
      socket.write(batch.text);
      const endedAt: number[] = [];
      reader.onResponse = () => endedAt.push(this.clock.now());
      await Promise.race([closed, reader.received(PIPELINED)]);
      const statuses = reader.takeStatuses();
      batch.calls.forEach((call, index) =>
        this.calls.push({
          ...call,
          endedAt: endedAt[index] ?? this.clock.now(),
          status: statuses[index],
        }),
      );
    }
  }

  #nextBatch(): Batch {
    const { machine, fleet } = this;
    const requests = Array.from({ length: PIPELINED }, () => {
      const id = `${this.name}-${this.#count++}`;
      const work = Math.round(this.random.jitter(MAX_WORK_MS));
      return { id, ...fleet.requestOf(machine, this.random.below(fleet.routeCount), id, work) };
    });
    const { pid } = fleet.programs[machine]!;
    const sentAt = this.clock.now();
    return {
      calls: requests.map(({ id }) => ({ id, machine, pid, sentAt })),
      text: requests.map(({ path, headers }) => textOf(path, headers)).join(''),
    };
  }
}

function textOf(path: string, headers: Readonly<Record<string, string | number>>): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `GET ${path} HTTP/1.1\r\n${lines.join('')}\r\n`;
}

/** Lines on their way out, bounded, so that a reader who stops reading holds nothing up. */
import { type Clock } from '../runtime/clock.js';
import { type Sink } from './sink.js';

/** Lines that may wait for the reader, in bytes: some seconds of a process under load. */
const CAPACITY_BYTES = 256 * 1024;
/** Share of it that routine lines may fill: failures during a standstill must still find room. */
const ROUTINE_SHARE = 0.5;
/** Lines are written together: each write costs a system call and a wake-up. In milliseconds. */
const GATHER_MS = 200;
/**
 * Most bytes of one write. A pipe takes so many in one piece (POSIX's `PIPE_BUF` on Linux); of
 * more, parts could land in the middle of what another process writes to the same collector.
 */
const WRITE_BYTES = 4_096;
/** How often an end is looked for at a stop, in milliseconds. */
const LOOK_EVERY_MS = 10;

/** Lines that found no room. */
export interface Dropped {
  readonly routine: number;
  readonly important: number;
}

const NONE: Dropped = { routine: 0, important: 0 };

export class LineBuffer {
  #lines: string[] = [];

  #bytes = 0;

  /** Bytes that the sink has in hand. */
  #writing = 0;

  #timer: NodeJS.Timeout | undefined;

  #unsaid = NONE;

  #dropped = NONE;

  constructor(
    private readonly sink: Sink,
    private readonly clock: Clock,
    /** Called after lines were dropped, once there is room to say so. */
    private readonly onRoom: (unsaid: Dropped) => void = () => {},
    private readonly capacity: number = CAPACITY_BYTES,
  ) {}

  /** Lines dropped since the start. */
  get dropped(): Dropped {
    return this.#dropped;
  }

  /** Takes a line, its end included; drops it when there is no room. */
  write(line: string, isRoutine: boolean): void {
    const room = isRoutine ? this.capacity * ROUTINE_SHARE : this.capacity;
    if (this.#bytes + this.#writing + line.length > room) {
      this.#unsaid = withOne(this.#unsaid, isRoutine);
      this.#dropped = withOne(this.#dropped, isRoutine);
      return;
    }
    this.#lines.push(line);
    this.#bytes += line.length;
    if (this.#writing === 0) this.#schedule();
  }

  /** Resolves when everything is written, or at the deadline (milliseconds since the epoch). */
  async drain(deadline: number): Promise<void> {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#flush();
    while (this.#writing > 0 && this.clock.now() < deadline) {
      await this.clock.sleepUntil(Math.min(deadline, this.clock.now() + LOOK_EVERY_MS));
    }
  }

  #schedule(): void {
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#flush();
    }, GATHER_MS).unref();
  }

  #flush(): void {
    if (this.#lines.length === 0 || this.#writing > 0) return;
    const lines = this.#takePiece();
    const text = lines.join('');
    this.#writing = text.length;
    this.#bytes -= text.length;
    this.sink.write(text).then(
      () => this.#written(),
      () => this.#lost(lines.length),
    );
  }

  /** Nobody reads any more, or the descriptor is closed: there is nowhere to say more than that. */
  #lost(count: number): void {
    const { routine, important } = this.#dropped;
    this.#dropped = { routine, important: important + count };
    this.#written();
  }

  #written(): void {
    this.#writing = 0;
    const unsaid = this.#unsaid;
    this.#unsaid = NONE;
    if (unsaid !== NONE) this.onRoom(unsaid);
    this.#flush();
  }

  /** Whole lines, as many as go into one write. */
  #takePiece(): string[] {
    let size = 0;
    let count = 0;
    for (const line of this.#lines) {
      if (count > 0 && size + line.length > WRITE_BYTES) break;
      size += line.length;
      count += 1;
    }
    return this.#lines.splice(0, count);
  }
}

function withOne({ routine, important }: Dropped, isRoutine: boolean): Dropped {
  return isRoutine ? { routine: routine + 1, important } : { routine, important: important + 1 };
}

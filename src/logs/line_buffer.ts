/** Lines on their way out, bounded, so that a reader who stops reading holds nothing up. */
import { type Clock } from '../runtime/clock.js';
import { type Sink } from './sink.js';

/** Lines that may wait for the reader, in bytes: some seconds of a process under load. */
const CAPACITY_BYTES = 256 * 1024;
/** Share of it that routine lines may fill: failures during a standstill must still find room. */
const ROUTINE_SHARE = 0.5;
/** Lines are written together: each write costs a system call and a wake-up. In milliseconds. */
const FLUSH_DELAY_MS = 200;
/**
 * Most bytes of one write. A pipe takes so many in one piece (POSIX's `PIPE_BUF` on Linux); of
 * more, parts could land in the middle of what another process writes to the same collector.
 */
const MAX_WRITE_BYTES = 4_096;
/** How often an end is looked for at a stop, in milliseconds. */
const POLL_INTERVAL_MS = 10;

/** Lines that found no room. */
export interface DroppedLines {
  readonly routine: number;
  readonly important: number;
}

const NONE: DroppedLines = { routine: 0, important: 0 };

export class LineBuffer {
  #lines: string[] = [];

  #bytes = 0;

  /** Bytes that the sink has in hand. */
  #bytesInWrite = 0;

  #timer: NodeJS.Timeout | undefined;

  #unreported = NONE;

  #dropped = NONE;

  constructor(
    private readonly sink: Sink,
    private readonly clock: Clock,
    /** Called after lines were dropped, once there is room to say so. */
    private readonly onDropped: (unsaid: DroppedLines) => void = () => {},
    private readonly capacity: number = CAPACITY_BYTES,
  ) {}

  /** Lines dropped since the start. */
  get dropped(): DroppedLines {
    return this.#dropped;
  }

  /** Takes a line, its end included; drops it when there is no room. */
  write(line: string, isRoutine: boolean): void {
    const room = isRoutine ? this.capacity * ROUTINE_SHARE : this.capacity;
    if (this.#bytes + this.#bytesInWrite + line.length > room) {
      this.#unreported = increment(this.#unreported, isRoutine);
      this.#dropped = increment(this.#dropped, isRoutine);
      return;
    }
    this.#lines.push(line);
    this.#bytes += line.length;
    if (this.#bytesInWrite === 0) this.#schedule();
  }

  /** Resolves when everything is written, or at the deadline (milliseconds since the epoch). */
  async drain(deadline: number): Promise<void> {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#flush();
    while (this.#bytesInWrite > 0 && this.clock.now() < deadline) {
      await this.clock.sleepUntil(Math.min(deadline, this.clock.now() + POLL_INTERVAL_MS));
    }
  }

  #schedule(): void {
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#flush();
    }, FLUSH_DELAY_MS).unref();
  }

  #flush(): void {
    if (this.#lines.length === 0 || this.#bytesInWrite > 0) return;
    const lines = this.#takeBatch();
    const text = lines.join('');
    this.#bytesInWrite = text.length;
    this.#bytes -= text.length;
    this.sink.write(text).then(
      () => this.#writeEnded(),
      () => this.#writeFailed(lines.length),
    );
  }

  /** Nobody reads any more, or the descriptor is closed: there is nowhere to say more than that. */
  #writeFailed(count: number): void {
    const { routine, important } = this.#dropped;
    this.#dropped = { routine, important: important + count };
    this.#writeEnded();
  }

  #writeEnded(): void {
    this.#bytesInWrite = 0;
    const unsaid = this.#unreported;
    this.#unreported = NONE;
    if (unsaid !== NONE) this.onDropped(unsaid);
    this.#flush();
  }

  /** Whole lines, as many as go into one write. */
  #takeBatch(): string[] {
    let size = 0;
    let count = 0;
    for (const line of this.#lines) {
      if (count > 0 && size + line.length > MAX_WRITE_BYTES) break;
      size += line.length;
      count += 1;
    }
    return this.#lines.splice(0, count);
  }
}

function increment({ routine, important }: DroppedLines, isRoutine: boolean): DroppedLines {
  return isRoutine ? { routine: routine + 1, important } : { routine, important: important + 1 };
}

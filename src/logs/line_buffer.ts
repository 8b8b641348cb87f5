/** Bounded buffer of log lines, so that a stalled reader does not block the process. */
import { type Clock } from '../runtime/clock.js';
import { type Sink } from './sink.js';

/** Capacity of the buffer, in bytes: some seconds of lines of a process under load. */
const CAPACITY_BYTES = 256 * 1024;
/** Share that routine lines may fill: lines about failures must still fit while the reader stalls. */
const ROUTINE_SHARE = 0.5;
/** Delay in which lines are batched, in milliseconds: each write costs a system call and a wake-up. */
const FLUSH_DELAY_MS = 200;
/**
 * Most bytes of one write: `PIPE_BUF` on Linux, up to which POSIX guarantees that a write to a pipe
 * is atomic. A larger one could be interleaved with lines of another process on the same pipe.
 */
export const MAX_WRITE_BYTES = 4_096;
/** Interval at which `drain` checks for the end of a write, in milliseconds. */
const POLL_INTERVAL_MS = 10;

/** Numbers of lines that were dropped. */
export interface DroppedLines {
  readonly routine: number;
  readonly important: number;
}

const NONE: DroppedLines = { routine: 0, important: 0 };

export class LineBuffer {
  #lines: string[] = [];

  #bytes = 0;

  /** Lines of the write in progress. */
  #linesInWrite: readonly string[] = [];

  /** Length of the write in progress; 0 if there is none. */
  #bytesInWrite = 0;

  #timer: NodeJS.Timeout | undefined;

  /** Dropped since `onDropped` was last called. */
  #unreported = NONE;

  #dropped = NONE;

  constructor(
    private readonly sink: Sink,
    private readonly clock: Clock,
    /** Called after lines were dropped, once there is room to log that. */
    private readonly onDropped: (unreported: DroppedLines) => void = () => {},
    private readonly capacity: number = CAPACITY_BYTES,
  ) {}

  /** Lines dropped since the start. */
  get dropped(): DroppedLines {
    return this.#dropped;
  }

  /** Buffers a line, which includes its line break; drops it if there is no room. */
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

  /** Resolves when all lines are written, or at the deadline (milliseconds since the epoch). */
  async drain(deadline: number): Promise<void> {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#flush();
    while (this.#bytesInWrite > 0 && this.clock.now() < deadline) {
      await this.clock.sleepUntil(Math.min(deadline, this.clock.now() + POLL_INTERVAL_MS));
    }
  }

  /**
   * Blocks until all lines are written, or until `deadline` (milliseconds since the epoch); returns
   * how many are not. For a process that exits next: lines that it logs afterwards may overtake them.
   */
  writeSynchronously(deadline: number): number {
    clearTimeout(this.#timer);
    if (this.sink.isWaiting) {
      // Only a line above `PIPE_BUF` may be written in part; the line break ends that part.
      const isAtomic = Buffer.byteLength(this.#linesInWrite.join('')) <= MAX_WRITE_BYTES;
      this.#lines.unshift(...(isAtomic ? [] : ['\n']), ...this.#linesInWrite);
    }
    while (this.#lines.length > 0) {
      const lines = this.#takeBatch();
      if (!this.sink.writeSynchronously(lines.join(''), deadline, this.clock))
        return lines.length + this.#lines.length;
    }
    return 0;
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
    this.#linesInWrite = lines;
    this.#bytesInWrite = text.length;
    this.#bytes -= text.length;
    this.sink.write(text).then(
      () => this.#writeEnded(),
      () => this.#writeFailed(lines.length),
    );
  }

  /** The pipe or descriptor is closed; the lines can only be counted as dropped. */
  #writeFailed(count: number): void {
    const { routine, important } = this.#dropped;
    this.#dropped = { routine, important: important + count };
    this.#writeEnded();
  }

  #writeEnded(): void {
    this.#bytesInWrite = 0;
    const unreported = this.#unreported;
    this.#unreported = NONE;
    if (unreported !== NONE) this.onDropped(unreported);
    this.#flush();
  }

  /** Removes as many whole lines as fit into one write. */
  #takeBatch(): string[] {
    let size = 0;
    let count = 0;
    for (const line of this.#lines) {
      const bytes = Buffer.byteLength(line);
      if (count > 0 && size + bytes > MAX_WRITE_BYTES) break;
      size += bytes;
      count += 1;
    }
    return this.#lines.splice(0, count);
  }
}

function increment({ routine, important }: DroppedLines, isRoutine: boolean): DroppedLines {
  return isRoutine ? { routine: routine + 1, important } : { routine, important: important + 1 };
}

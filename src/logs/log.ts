/** Structured logs: one JSON object per line. */
import { pino } from 'pino';
import { type Clock } from '../runtime/clock.js';
import { type ProcessEvent, type RequestEvent } from './events.js';
import { type DroppedLines, LineBuffer } from './line_buffer.js';
import { type Sink } from './sink.js';

/**
 * - `debug`: decisions about served requests; the first to be dropped.
 * - `info`: changes in the state of the process, or in its view of the fleet.
 * - `warn`: decisions about requests that were not served, lost dependencies and faults.
 */
export type Level = 'debug' | 'info' | 'warn';

/** Lowest level that is written; `silent` writes nothing. */
export type MinLevel = Level | 'silent';

const LEVEL_ORDER: Readonly<Record<MinLevel, number>> = { debug: 0, info: 1, warn: 2, silent: 3 };

/** Event of a log line, about a request or about the process. */
export type LogEvent = ProcessEvent | (RequestEvent & { readonly id: string });

export abstract class Log {
  abstract readonly dropped: DroppedLines;

  /** Whether lines of that level are written. */
  abstract isEnabled(level: Level): boolean;

  /** Writes a line. `at` is the time of the event, in milliseconds since the epoch; now if absent. */
  abstract record(level: Level, event: LogEvent, at?: number): void;

  /** Resolves when all lines are written, or at the deadline (milliseconds since the epoch). */
  abstract drain(deadline: number): Promise<void>;

  /**
   * Blocks until all lines are written, or until `deadline` (milliseconds since the epoch); returns
   * how many are not. For a process that exits next.
   */
  abstract drainSynchronously(deadline: number): number;
}

/** Discards all lines. */
export class SilentLog extends Log {
  readonly dropped: DroppedLines = { routine: 0, important: 0 };

  isEnabled(): boolean {
    return false;
  }

  record(): void {}

  drain(): Promise<void> {
    return Promise.resolve();
  }

  drainSynchronously(): number {
    return 0;
  }
}

/**
 * Writes lines to a sink through a bounded buffer.
 *
 * @example
 * ```ts
 * const log = new LineLog('arima-1', 'info', standardOutput(), clock);
 * log.record('info', { event: 'stopping' });
 * ```
 */
export class LineLog extends Log {
  readonly #buffer: LineBuffer;

  readonly #lines;

  constructor(
    instance: string,
    private readonly minLevel: MinLevel,
    sink: Sink,
    private readonly clock: Clock,
  ) {
    super();
    const reportDropped = (unreported: DroppedLines) => {
      this.record('warn', { event: 'lines-dropped', ...unreported });
    };
    this.#buffer = new LineBuffer(sink, clock, reportDropped);
    const target = {
      // Pino sets `lastLevel` before each line on targets with this property.
      [Symbol.for('pino.metadata')]: true,
      lastLevel: 0,
      write: (line: string) =>
        this.#buffer.write(line, target.lastLevel <= pino.levels.values.debug!),
    };
    const options = {
      level: minLevel,
      base: { instance },
      timestamp: false,
      formatters: { level: (label: string) => ({ level: label }) },
    };
    this.#lines = pino(options, target);
  }

  get dropped(): DroppedLines {
    return this.#buffer.dropped;
  }

  isEnabled(level: Level): boolean {
    return LEVEL_ORDER[level] >= LEVEL_ORDER[this.minLevel];
  }

  record(level: Level, event: LogEvent, at: number = this.clock.now()): void {
    if (!this.isEnabled(level)) return;
    this.#lines[level]({ at: Math.round(at), ...event });
  }

  async drain(deadline: number): Promise<void> {
    await this.#buffer.drain(deadline);
  }

  drainSynchronously(deadline: number): number {
    return this.#buffer.writeSynchronously(deadline);
  }
}

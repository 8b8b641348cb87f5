/** Keeps what is recorded, for tests. */
import { type Level, Log, type Recorded } from '../../logs/log.js';

export class MemoryLog extends Log {
  readonly dropped = { routine: 0, important: 0 };

  readonly lines: { level: Level; event: Recorded; at: number }[] = [];

  constructor(private readonly least: Level = 'debug') {
    super();
  }

  get events(): Recorded[] {
    return this.lines.map(({ event }) => event);
  }

  writes(level: Level): boolean {
    return this.least === 'debug' || level === this.least;
  }

  record(level: Level, event: Recorded, at = 0): void {
    this.lines.push({ level, event, at });
  }

  drain(): Promise<void> {
    return Promise.resolve();
  }
}

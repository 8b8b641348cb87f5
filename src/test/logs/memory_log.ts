/** Keeps all recorded events in memory, for tests. */
import { type Level, Log, type LogEvent } from '../../logs/log.js';

export class MemoryLog extends Log {
  readonly dropped = { routine: 0, important: 0 };

  readonly lines: { level: Level; event: LogEvent; at: number }[] = [];

  constructor(private readonly minLevel: Level = 'debug') {
    super();
  }

  get events(): LogEvent[] {
    return this.lines.map(({ event }) => event);
  }

  isEnabled(level: Level): boolean {
    return this.minLevel === 'debug' || level === this.minLevel;
  }

  record(level: Level, event: LogEvent, at = 0): void {
    this.lines.push({ level, event, at });
  }

  drain(): Promise<void> {
    return Promise.resolve();
  }

  drainSynchronously(): number {
    return 0;
  }
}

/** Structured logs: one JSON object a line, for changes of state only. */
import debug from 'debug';
import { type Clock } from '../runtime/clock.js';

const write = debug('barleyhaven');

/** Names a change of state and its particulars. */
export class Journal {
  constructor(
    private readonly instance: string,
    private readonly clock: Clock,
  ) {}

  /** Writes a line if `DEBUG` names `barleyhaven`. */
  record(event: string, particulars: Readonly<Record<string, unknown>> = {}): void {
    if (!write.enabled) return;
    const at = new Date(this.clock.now()).toISOString();
    write('%s', JSON.stringify({ at, instance: this.instance, event, ...particulars }));
  }
}

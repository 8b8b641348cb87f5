/** Counts the outcomes of requests, with one log line per second and route. */
import { type Clock } from '../runtime/clock.js';
import { type ProcessEvent } from './events.js';
import { type Log } from './log.js';
import { type RequestEnd, isServed } from './request_log.js';

type TallyLine = Extract<ProcessEvent, { readonly event: 'tally' }>;
type Counts = { -readonly [Field in keyof TallyLine]: TallyLine[Field] };

const WINDOW_MS = 1_000;
/** Routes counted separately per second; a scan over thousands would otherwise fill the log. */
const MAX_ROUTES = 50;
/** Route and upstream of requests beyond `MAX_ROUTES`. */
const OTHER = 'other';
const NONE = 'none';

/**
 * Lines about single requests are sampled, so they cannot be summed up. These can: each request
 * that ended at the entry is counted in one. A second without requests has no line, and the counts
 * of a second are written when the first request after it ends.
 */
export class Tally {
  #startedAt = 0;

  readonly #routes = new Map<string, Counts>();

  constructor(
    private readonly log: Log,
    private readonly clock: Clock,
  ) {}

  add(ended: RequestEnd): void {
    const now = this.clock.now();
    if (now >= this.#startedAt + WINDOW_MS) this.flush();
    if (this.#routes.size === 0) this.#startedAt = now;
    const counts = this.#countsOf(ended);
    counts.asked += 1;
    if (ended.isReturn) counts.returned += 1;
    if (isServed(ended)) {
      counts[ended.isLate ? 'late' : 'inTime'] += 1;
      counts.bytes = (counts.bytes ?? 0) + (ended.bytes ?? 0);
      return;
    }
    counts[ended.verdict === 'not-run' ? 'refused' : 'failed'] += 1;
    const reason = ended.verdict === 'ran' ? `status ${ended.status}` : ended.reason;
    counts.reasons[reason] = (counts.reasons[reason] ?? 0) + 1;
  }

  /** Writes the counts so far and resets them. */
  flush(): void {
    for (const counts of this.#routes.values()) this.log.record('info', counts, this.#startedAt);
    this.#routes.clear();
  }

  #countsOf({ route = NONE, upstream = NONE }: RequestEnd): Counts {
    const isOverflow = this.#routes.size >= MAX_ROUTES && !this.#routes.has(route);
    const name = isOverflow ? OTHER : route;
    let counts = this.#routes.get(name);
    if (!counts) {
      counts = emptyCounts(name, isOverflow ? OTHER : upstream);
      this.#routes.set(name, counts);
    }
    return counts;
  }
}

function emptyCounts(route: string, upstream: string): Counts {
  const ends = { asked: 0, returned: 0, inTime: 0, late: 0, refused: 0, failed: 0, bytes: 0 };
  return { event: 'tally', route, upstream, ...ends, reasons: {} };
}

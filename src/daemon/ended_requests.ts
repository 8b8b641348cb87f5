/** Histograms of the requests that ended at one hop, by route, upstream, verdict and reason. */
import { type Ending } from '../logs/request_log.js';

/**
 * Upper bounds of the buckets, in seconds: from an answer that costs nothing to the longest time
 * that callers usually wait.
 */
export const BOUNDS_SECONDS: readonly number[] = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
];
/** Series kept; a table of thousands of routes would else fill the memory of a small machine. */
const MAX_SERIES = 400;
/** What stands for the route and upstream of requests beyond that. */
const OTHER = 'other';
const NONE = 'none';
const MS_PER_SECOND = 1_000;

/** One series. */
export interface Series {
  readonly labels: Readonly<Record<'route' | 'upstream' | 'verdict' | 'reason', string>>;
  /** Requests in each bucket, by its upper bound; the last holds what is longer than all. */
  readonly buckets: number[];
  sumSeconds: number;
}

export class EndedRequests {
  readonly #series = new Map<string, Series>();

  constructor(readonly hop: 'entry' | 'guard') {}

  get series(): readonly Series[] {
    return [...this.#series.values()];
  }

  add({ route = NONE, upstream = NONE, verdict, reason, tookMs }: Ending): void {
    const seconds = tookMs / MS_PER_SECOND;
    const series = this.#find({ route, upstream, verdict, reason });
    const found = BOUNDS_SECONDS.findIndex((bound) => seconds <= bound);
    const index = found < 0 ? BOUNDS_SECONDS.length : found;
    series.buckets[index] = (series.buckets[index] ?? 0) + 1;
    series.sumSeconds += seconds;
  }

  #find(labels: Series['labels']): Series {
    const { route, upstream, verdict, reason } = labels;
    const key = `${route} ${upstream} ${verdict} ${reason}`;
    const known = this.#series.get(key);
    if (known) return known;
    if (this.#series.size >= MAX_SERIES && route !== OTHER) {
      return this.#find({ ...labels, route: OTHER, upstream: OTHER });
    }
    const buckets = new Array<number>(BOUNDS_SECONDS.length + 1).fill(0);
    const made = { labels, buckets, sumSeconds: 0 };
    this.#series.set(key, made);
    return made;
  }
}

/** The series as lines of the Prometheus text format. */
export function histogramText(name: string, help: string, { series }: EndedRequests): string {
  const lines = [`# HELP ${name} ${help}`, `# TYPE ${name} histogram`];
  for (const { labels, buckets, sumSeconds } of series) {
    const common = Object.entries(labels)
      .map(([label, value]) => `${label}="${escaped(value)}"`)
      .join(',');
    let count = 0;
    buckets.forEach((more, index) => {
      count += more;
      const bound = BOUNDS_SECONDS[index] ?? '+Inf';
      lines.push(`${name}_bucket{${common},le="${bound}"} ${count}`);
    });
    lines.push(`${name}_sum{${common}} ${sumSeconds}`, `${name}_count{${common}} ${count}`);
  }
  return `${lines.join('\n')}\n`;
}

/** As the format wants label values. */
function escaped(value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
}

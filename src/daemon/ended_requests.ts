/** Latency histograms of the requests that ended at one hop. */
import { type RequestEnd } from '../logs/request_log.js';

/**
 * Upper bounds of the buckets, in seconds, from the fastest responses to the longest time that
 * callers usually wait.
 */
export const BOUNDS_SECONDS: readonly number[] = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
];
/**
 * Number of series that are kept for single routes: a configuration with thousands of routes would
 * otherwise fill the memory of a small machine.
 */
const MAX_SERIES = 400;
/** Route and upstream label of requests beyond `MAX_SERIES`. */
const OTHER = 'other';
const NONE = 'none';
const MS_PER_SECOND = 1_000;

/** Histogram of one combination of labels. */
export interface Series {
  readonly labels: Readonly<Record<'route' | 'upstream' | 'verdict' | 'reason', string>>;
  /** Requests per bucket, not cumulative; the last bucket is unbounded. */
  readonly buckets: number[];
  sumSeconds: number;
}

export class EndedRequests {
  readonly #series = new Map<string, Series>();

  constructor(readonly hop: 'entry' | 'guard') {}

  get series(): readonly Series[] {
    return [...this.#series.values()];
  }

  add({ route = NONE, upstream = NONE, verdict, reason, tookMs }: RequestEnd): void {
    const seconds = tookMs / MS_PER_SECOND;
    const series = this.#seriesFor({ route, upstream, verdict, reason });
    const found = BOUNDS_SECONDS.findIndex((bound) => seconds <= bound);
    const index = found < 0 ? BOUNDS_SECONDS.length : found;
    series.buckets[index] = (series.buckets[index] ?? 0) + 1;
    series.sumSeconds += seconds;
  }

  #seriesFor(labels: Series['labels']): Series {
    const { route, upstream, verdict, reason } = labels;
    const key = `${route} ${upstream} ${verdict} ${reason}`;
    const known = this.#series.get(key);
    if (known) return known;
    if (this.#series.size >= MAX_SERIES && route !== OTHER) {
      return this.#seriesFor({ ...labels, route: OTHER, upstream: OTHER });
    }
    const buckets = new Array<number>(BOUNDS_SECONDS.length + 1).fill(0);
    const created = { labels, buckets, sumSeconds: 0 };
    this.#series.set(key, created);
    return created;
  }
}

/** Formats the series as a histogram in the Prometheus text format. */
export function histogramText(name: string, help: string, { series }: EndedRequests): string {
  const lines = [`# HELP ${name} ${help}`, `# TYPE ${name} histogram`];
  for (const { labels, buckets, sumSeconds } of series) {
    const common = Object.entries(labels)
      .map(([label, value]) => `${label}="${escapeLabelValue(value)}"`)
      .join(',');
    let count = 0;
    buckets.forEach((inBucket, index) => {
      count += inBucket;
      const bound = BOUNDS_SECONDS[index] ?? '+Inf';
      lines.push(`${name}_bucket{${common},le="${bound}"} ${count}`);
    });
    lines.push(`${name}_sum{${common}} ${sumSeconds}`, `${name}_count{${common}} ${count}`);
  }
  return `${lines.join('\n')}\n`;
}

function escapeLabelValue(value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
}

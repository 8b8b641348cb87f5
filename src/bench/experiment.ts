/** Base class and helpers of the experiments. */
import { build, type Histogram } from 'hdr-histogram-js';
import { type Clock } from '../runtime/clock.js';

export interface Options {
  readonly processes: number;
  readonly seed: number;
  /** Time for which faults are played; that of the experiment when absent. */
  readonly seconds?: number;
  /** Processes that keep the machine busy meanwhile; those of the experiment when absent. */
  readonly busy?: number;
  /** Reports the step of the experiment that starts. */
  readonly progress: (text: string) => void;
}

/** Measured values by name. A run with `failures` ends with exit code 1. */
export type Result = Readonly<Record<string, unknown>> & { readonly failures?: readonly string[] };

export abstract class Experiment {
  abstract readonly name: string;

  /** Number of processes when `--processes` is not given. */
  readonly defaultProcesses: number = 50;

  constructor(protected readonly clock: Clock) {}

  abstract run(options: Options): Promise<Result>;
}

/** The histogram records whole microseconds. */
const UNITS_PER_MS = 1_000;
const MAX_TRACKABLE_MS = 120_000;

/** Histogram of times in milliseconds, with a resolution of one microsecond. */
export class LatencyHistogram {
  readonly #histogram: Histogram = build({
    highestTrackableValue: MAX_TRACKABLE_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 3,
  });

  add(ms: number): void {
    this.#histogram.recordValue(Math.max(0, Math.round(ms * UNITS_PER_MS)));
  }

  get count(): number {
    return this.#histogram.totalCount;
  }

  percentile(percentile: number): number {
    return this.#histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
  }
}

export function rounded(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}

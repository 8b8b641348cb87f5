/** What all experiments have in common. */
import { build, type Histogram } from 'hdr-histogram-js';
import { type Clock } from '../runtime/clock.js';

export interface Options {
  readonly processes: number;
  readonly seed: number;
  /** Prints how far the experiment is. */
  readonly progress: (text: string) => void;
}

/** Figures by name; times are in milliseconds. */
export type Result = Readonly<Record<string, unknown>>;

export abstract class Experiment {
  abstract readonly name: string;

  /** Processes unless the command line says otherwise. */
  readonly defaultProcesses: number = 50;

  constructor(protected readonly clock: Clock) {}

  abstract run(options: Options): Promise<Result>;
}

/** Steps of a histogram per millisecond. */
const STEPS_PER_MS = 1_000;
const HIGHEST_MS = 120_000;

/** Times in milliseconds, kept to a microsecond. */
export class Times {
  readonly #histogram: Histogram = build({
    highestTrackableValue: HIGHEST_MS * STEPS_PER_MS,
    numberOfSignificantValueDigits: 3,
  });

  add(ms: number): void {
    this.#histogram.recordValue(Math.max(0, Math.round(ms * STEPS_PER_MS)));
  }

  get count(): number {
    return this.#histogram.totalCount;
  }

  at(percentile: number): number {
    return this.#histogram.getValueAtPercentile(percentile) / STEPS_PER_MS;
  }
}

export function rounded(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}

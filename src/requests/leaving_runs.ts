/** The runs of upstream instances that have told callers of this process that they leave. */
import { setBounded } from '../runtime/bounded_map.js';

/** One per endpoint; several times the design size. */
const MAX_RUNS = 4_096;

/**
 * An entry that has passed on such an answer must send that run no more requests, even if the process
 * beside it has been replaced since and has not heard of it. So the entry names the run in each
 * further request to that process, which refuses it if the run is still the same. The statistics of
 * endpoints cannot hold it: they end when an endpoint drains.
 */
export class LeavingRuns {
  /** Runs as header values, by the process beside the instance. */
  readonly #runs = new Map<string, string>();

  record(instance: string, run: string): void {
    setBounded(this.#runs, instance, run, MAX_RUNS);
  }

  of(instance: string): string | undefined {
    return this.#runs.get(instance);
  }
}

/** Counts calls to the platform and detects when it is unavailable. */
import { callEach } from '../runtime/faults.js';

/** Method and outcome of completed calls. */
export interface EndedCall {
  readonly method: string;
  /** HTTP status of the answer, or `failed` if there was none. */
  readonly outcome: string;
}

/** Called when the platform becomes unavailable, and when it becomes available again. */
export type PlatformListener = (change: {
  readonly isAway: boolean;
  readonly message: string;
}) => void;

const MIN_FAILURE_STATUS = 500;
const TOO_MANY_REQUESTS = '429';

export class CallMeter {
  readonly #counts = new Map<string, EndedCall & { count: number }>();

  readonly #listeners = new Set<PlatformListener>();

  #isAway = false;

  /** Numbers of completed calls since the process started, by method and outcome. */
  get ended(): readonly (EndedCall & { readonly count: number })[] {
    return [...this.#counts.values()];
  }

  /** Number of all completed calls. */
  get total(): number {
    return this.ended.reduce((sum, { count }) => sum + count, 0);
  }

  /** Whether the latest call failed. */
  get isAway(): boolean {
    return this.#isAway;
  }

  onChange(listener: PlatformListener): void {
    this.#listeners.add(listener);
  }

  answered(method: string, status: number): void {
    const outcome = String(status);
    this.#count(method, outcome);
    const isAway = status >= MIN_FAILURE_STATUS || outcome === TOO_MANY_REQUESTS;
    this.#setAway(isAway, `the platform answered ${outcome}`);
  }

  failed(method: string, cause: Error): void {
    this.#count(method, 'failed');
    this.#setAway(true, cause.message);
  }

  #count(method: string, outcome: string): void {
    const key = `${method} ${outcome}`;
    const counted = this.#counts.get(key);
    if (counted) counted.count += 1;
    else this.#counts.set(key, { method, outcome, count: 1 });
  }

  #setAway(isAway: boolean, message: string): void {
    if (isAway === this.#isAway) return;
    this.#isAway = isAway;
    callEach('platform contact', this.#listeners, { isAway, message });
  }
}

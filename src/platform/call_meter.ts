/** Counts calls to the platform and notices when it is away. */

/** A call that ended. */
export interface EndedCall {
  readonly method: string;
  /** Status of the answer, or `failed` without one. */
  readonly outcome: string;
}

/** Called when the platform has become unusable, or usable again. */
export type PlatformListener = (change: {
  readonly isAway: boolean;
  readonly message: string;
}) => void;

const LEAST_FAILURE = 500;
const TOO_MANY = '429';

export class CallMeter {
  readonly #counts = new Map<string, EndedCall & { count: number }>();

  readonly #listeners = new Set<PlatformListener>();

  #isAway = false;

  /** Calls ended since the start, by method and outcome. */
  get ended(): readonly (EndedCall & { readonly count: number })[] {
    return [...this.#counts.values()];
  }

  /** How many those are together. */
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
    const isAway = status >= LEAST_FAILURE || outcome === TOO_MANY;
    this.#note(isAway, `the platform answered ${outcome}`);
  }

  failed(method: string, cause: Error): void {
    this.#count(method, 'failed');
    this.#note(true, cause.message);
  }

  #count(method: string, outcome: string): void {
    const key = `${method} ${outcome}`;
    const counted = this.#counts.get(key);
    if (counted) counted.count += 1;
    else this.#counts.set(key, { method, outcome, count: 1 });
  }

  #note(isAway: boolean, message: string): void {
    if (isAway === this.#isAway) return;
    this.#isAway = isAway;
    for (const listener of this.#listeners) listener({ isAway, message });
  }
}

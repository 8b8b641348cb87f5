/** What an upstream instance has stated about the slowness of its machine. */
import { type Clock } from '../runtime/clock.js';
import { type Slowness } from './load.js';
import { expectedFactor, slowedMs, SLOWNESS_VALID_MS } from './slowness.js';

/** Minimum time between two remembered statements, in milliseconds. */
const MIN_INTERVAL_MS = 10;
/** Enough for the duration of nearly all jobs; of longer ones only the end is normalized. */
const MAX_STATEMENTS = 256;
/**
 * Maximum time before and after a statement for which it counts in the past, in milliseconds: the
 * mean length of a phase is 180 ms for slow ones.
 */
const REACH_MS = 180;

interface Statement {
  /** 1 as usual, above for a slow machine. */
  readonly factor: number;
  /** In milliseconds since the epoch. */
  readonly at: number;
}

export class SlownessRecord {
  /** In order of time. */
  readonly #statements: Statement[] = [];

  constructor(private readonly clock: Clock) {}

  /** Records a factor that the instance states now. */
  record(factor: number): void {
    const at = this.clock.now();
    const statements = this.#statements;
    const before = statements.at(-2);
    if (before && at - before.at < MIN_INTERVAL_MS) statements.pop();
    statements.push({ factor, at });
    if (statements.length > MAX_STATEMENTS) statements.shift();
  }

  /** The last statement with its age; undefined if there is none that is still valid. */
  get latest(): Slowness | undefined {
    const last = this.#statements.at(-1);
    if (!last) return undefined;
    const ageMs = Math.max(0, this.clock.now() - last.at);
    return ageMs < SLOWNESS_VALID_MS ? { factor: last.factor, ageMs } : undefined;
  }

  /** Expected duration of work that begins after `waitMs` and usually takes `usualMs`. */
  expectedMs(usualMs: number, waitMs = 0): number {
    return slowedMs(usualMs, expectedFactor(this.latest, waitMs));
  }

  /**
   * How long the work from one instant to another takes at the usual speed, in milliseconds. At each
   * instant the nearest statement counts, if it is near enough.
   */
  usualMs(from: number, to: number): number {
    const statements = this.#statements;
    let savedMs = 0;
    let end = to;
    for (let index = statements.length - 1; index >= 0 && end > from; index--) {
      const { factor, at } = statements[index]!;
      const before = statements[index - 1]?.at ?? -Infinity;
      const begin = Math.max(from, (before + at) / 2);
      const nearMs = Math.min(end, at + REACH_MS) - Math.max(begin, at - REACH_MS);
      savedMs += Math.max(0, nearMs) * (1 - 1 / factor);
      end = Math.min(end, begin);
    }
    return to - from - savedMs;
  }
}

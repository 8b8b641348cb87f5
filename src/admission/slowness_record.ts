/** What an upstream instance has stated about the slowness of its machine. */
import { type Clock } from '../runtime/clock.js';
import { type Slowness } from './load.js';
import { expectedFactor, slowedMs, SLOWNESS_VALID_MS } from './slowness.js';

/** Minimum time between two remembered statements, in milliseconds. */
const MIN_INTERVAL_MS = 10;
/** Enough for the duration of nearly all jobs; of longer ones only the end is normalized. */
const MAX_STATEMENTS = 256;
/** Maximum time before and after a statement for which it counts in the past, in milliseconds. */
const REACH_MS = 180;

/** Half-life of the statements in the mean speed, in milliseconds. */
const MEAN_HALF_LIFE_MS = 10_000;

interface Statement {
  /** 1 as usual, above for a slow machine. */
  readonly factor: number;
  /** In milliseconds since the epoch. */
  readonly at: number;
}

export class SlownessRecord {
  /** In order of time. */
  readonly #statements: Statement[] = [];

  /** Mean over time, 1 for the usual speed. */
  #meanSpeed = 1;

  constructor(private readonly clock: Clock) {}

  /** Records a factor that the instance states now. */
  record(factor: number): void {
    const at = this.clock.now();
    const statements = this.#statements;
    const last = statements.at(-1);
    if (last) this.#meanOver(at - last.at, factor);
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

  /**
   * Expected duration of work that begins after `waitMs` and usually takes `usualMs`. While
   * statements are valid, a factor decays to the long-run one instead of 1: slow phases that begin
   * later also count, and without them the waits of a busy instance are expected too short.
   */
  expectedMs(usualMs: number, waitMs = 0): number {
    const { latest } = this;
    if (!latest) return usualMs;
    const factor = latest.factor * this.#meanSpeed;
    return slowedMs(usualMs / this.#meanSpeed, expectedFactor({ ...latest, factor }, waitMs));
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

  /** Includes in the mean speed the time since the last statement, as far as one counts for it. */
  #meanOver(sinceMs: number, factor: number): void {
    const weight = 1 - 2 ** (-Math.min(sinceMs, REACH_MS) / MEAN_HALF_LIFE_MS);
    this.#meanSpeed += (1 / factor - this.#meanSpeed) * weight;
  }
}

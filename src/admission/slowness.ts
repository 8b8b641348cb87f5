/**
 * How durations change with the slowness of a machine. Slow phases begin and end at random, so a
 * stated factor says less with its age: what is expected of it decays exponentially to 1.
 */
import { type Slowness } from './load.js';

/**
 * Half-life of a stated factor, in milliseconds. A machine that is shared with other work changes its
 * speed several times a second, so that a statement is outdated after a few hundred milliseconds.
 */
export const SLOWNESS_HALF_LIFE_MS = 106;
/** Age from which a statement counts no more, in milliseconds. */
export const SLOWNESS_VALID_MS = 3_000;

const TIME_CONSTANT_MS = SLOWNESS_HALF_LIFE_MS / Math.LN2;

/** The factor to expect `laterMs` after the age that was given; 1 without a valid statement. */
export function expectedFactor(slowness: Slowness | undefined, laterMs = 0): number {
  if (!slowness) return 1;
  const ageMs = slowness.ageMs + laterMs;
  if (ageMs >= SLOWNESS_VALID_MS) return 1;
  return 1 + (slowness.factor - 1) * 2 ** (-ageMs / SLOWNESS_HALF_LIFE_MS);
}

/**
 * Expected duration of work that begins now and usually takes `workMs`: the time after which the
 * integral of the speed, with a factor that decays from `factor` to 1, reaches `workMs`.
 */
export function slowedMs(workMs: number, factor: number): number {
  const reached = 1 - Math.exp(-workMs / TIME_CONSTANT_MS);
  return workMs + TIME_CONSTANT_MS * Math.log1p((factor - 1) * reached);
}

/** The inverse of `slowedMs`: what work usually takes that has taken `tookMs` and ends at `factor`. */
export function usualMs(tookMs: number, factor: number): number {
  const reached = 1 - Math.exp(-tookMs / TIME_CONSTANT_MS);
  return tookMs + TIME_CONSTANT_MS * Math.log1p((1 / factor - 1) * reached);
}

/** Where the baseline keeps its configuration in the platform. */

/** Prefix of a small record per version, which everybody watches. */
export const BASELINE_HEAD = 'baseline-versions';
/** The whole configuration in one value. */
export const BASELINE_WHOLE = 'baseline-configuration';

export interface BaselineHead {
  readonly number: number;
}

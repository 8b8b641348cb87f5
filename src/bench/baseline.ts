/** Platform keys under which the baseline stores its configuration. */

/** Prefix of the small version records that every proxy watches. */
export const BASELINE_VERSIONS_PREFIX = 'baseline-versions';
/** Key of the whole configuration, stored as one value. */
export const BASELINE_CONFIGURATION_KEY = 'baseline-configuration';

export interface BaselineVersion {
  readonly number: number;
}

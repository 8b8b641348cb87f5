/** Retry settings of the entry, from the settings of the process. */
import { type Roster } from '../membership/roster.js';
import {
  allowanceOf,
  DEFAULT_RETRY_SETTINGS,
  type RetrySettings,
} from '../placement/retry_budget.js';
import { type Settings } from './settings.js';

/** The allowance of this process is its part of that of the whole fleet, if the settings give one. */
export function retrySettingsOf(
  { retryPercent, retrySlack, retryWindowMs }: Settings,
  roster: Roster,
): RetrySettings {
  if (retrySlack === undefined) return { ...DEFAULT_RETRY_SETTINGS, percent: retryPercent };
  // Lost members count, too: in a partition each side would otherwise use the whole allowance.
  const allowance = () => allowanceOf(retrySlack, retryWindowMs, roster.size);
  return { percent: retryPercent, allowance };
}

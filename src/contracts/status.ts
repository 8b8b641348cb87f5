/** Status of release notes across the fleet. */
import * as z from 'zod';
import { Rollout } from './rollout.js';
import { Survey } from './survey.js';
import { Action } from './version.js';

/**
 * An accepted version. `action` and `author` are absent if it was read from a process instead of
 * the log.
 */
export const AcceptedVersion = z.strictObject({
  number: z.number().int().min(1),
  note: z.string(),
  acceptedAt: z.number(),
  action: Action.optional(),
  author: z.string().optional(),
});
export type AcceptedVersion = z.infer<typeof AcceptedVersion>;

export const Status = z.strictObject({
  /**
   * Instant of the answer on the clock of the answering process, in milliseconds since the epoch.
   */
  asOf: z.number(),
  /** The latest accepted version known to the answering process. */
  head: z.number().int(),
  /** Whether the log was read from the platform; if not, later versions may have been accepted. */
  isLogRead: z.boolean(),
  /** The latest versions, or those of one release note, newest first. */
  versions: z.array(AcceptedVersion),
  survey: Survey,
  /** The last order for each upstream that the answering process knows. */
  rollouts: z.array(Rollout).default([]),
});
export type Status = z.infer<typeof Status>;

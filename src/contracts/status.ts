/** Where release notes stand across the fleet. */
import * as z from 'zod';
import { Rollout } from './rollout.js';
import { Survey } from './survey.js';
import { Action } from './version.js';

/** One accepted version. Who handed it in is absent where only its copy at a process was read. */
export const Standing = z.strictObject({
  number: z.number().int().min(1),
  note: z.string(),
  acceptedAt: z.number(),
  action: Action.optional(),
  author: z.string().optional(),
});
export type Standing = z.infer<typeof Standing>;

export const Status = z.strictObject({
  /** Instant of the answer at the process asked, in milliseconds since the epoch. */
  asOf: z.number(),
  /** The latest version that the process asked knows to be accepted. */
  head: z.number().int(),
  /** Whether the platform answered; if not, later versions may have been accepted. */
  isLogRead: z.boolean(),
  /** The latest versions, or those of one note, newest first. */
  versions: z.array(Standing),
  survey: Survey,
  /** The last order for each upstream, as the process asked knows it. */
  rollouts: z.array(Rollout).default([]),
});
export type Status = z.infer<typeof Status>;

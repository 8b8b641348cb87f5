/** A team as operators see it: without its keys and their digests. */
import * as z from 'zod';

export const TeamStatus = z.strictObject({
  name: z.string(),
  /** Number of keys that are accepted. */
  keys: z.number().int().min(0),
  /** Absent if the priority of the route applies. */
  priority: z.number().optional(),
  /** Requests per second over all processes; absent without a limit. */
  requestsPerSecond: z.number().optional(),
  burst: z.number().optional(),
  /** Use through the answering process; absent if the process has not seen the team. */
  usage: z
    .strictObject({
      admitted: z.number(),
      refused: z.number(),
      demandPerS: z.number(),
      tokens: z.number(),
      offlinePerS: z.number(),
      isInContact: z.boolean(),
    })
    .optional(),
});
export type TeamStatus = z.infer<typeof TeamStatus>;

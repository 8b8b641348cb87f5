/** Where versions stand across the fleet. */
import { z } from 'zod';

/** A process that does not hold the head, and why. */
export const Laggard = z.strictObject({
  instance: z.string(),
  dataCentre: z.string(),
  version: z.number().int(),
  reason: z.string(),
});
export type Laggard = z.infer<typeof Laggard>;

export const Holding = z.strictObject({
  version: z.number().int(),
  processes: z.number().int(),
});

/** Counted by each process over its part of the tree. */
export const Survey = z.strictObject({
  /** How many processes hold which version. */
  holding: z.array(Holding),
  /** The first processes that lag or have refused a version. */
  laggards: z.array(Laggard),
  /** Processes that did not answer: they are counted as unknown, never as holding. */
  unknown: z.array(z.string()),
  /** Data centres that were not reached at all. */
  unreached: z.array(z.string()),
});
export type Survey = z.infer<typeof Survey>;

export const Scope = z.strictObject({ scope: z.enum(['subtree', 'data-centre', 'fleet']) });
export type Scope = z.infer<typeof Scope>;

/** The first laggards suffice to see what is wrong, and bound the answer's size. */
export const MAX_LAGGARDS = 50;

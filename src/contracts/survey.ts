/** Where versions stand across the fleet. */
import * as z from 'zod';

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
  /** The first processes that are behind the head or have refused a version. */
  laggards: z.array(Laggard),
  /** How many processes did not answer: they are never counted as holding. */
  unknownProcesses: z.number().int(),
  /** The first of them by name. */
  unknown: z.array(z.string()),
  /** Data centres that were not reached at all. */
  unreached: z.array(z.string()),
});
export type Survey = z.infer<typeof Survey>;

export const Scope = z.strictObject({
  scope: z.enum(['subtree', 'data-centre', 'fleet']),
  /** The highest version known where the survey began. */
  head: z.number().int(),
  /** Time in which the answer is of use, in milliseconds; it shrinks with each level. */
  withinMs: z.number(),
});
export type Scope = z.infer<typeof Scope>;

/** The first ones suffice to see what is wrong, and bound the answer's size. */
export const MAX_SURVEY_ENTRIES = 50;

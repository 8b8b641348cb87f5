/** Messages about rollouts, which move an upstream to another version. */
import * as z from 'zod';
import { Name } from './resource.js';

/**
 * Progress of a rollout. A later phase in this list overrides an earlier one:
 *
 * - `trial`: the new version gets a small share of the requests.
 * - `proof`: it passed the trial, and briefly gets a large share.
 * - `promoting`: it gets all new requests; the old version finishes its requests.
 * - `withdrawn`: it was found to be faulty, and gets no requests.
 * - `rolled-back`, `completed`: final, as recorded in the platform.
 */
export const RolloutPhase = z.enum([
  'trial',
  'proof',
  'promoting',
  'withdrawn',
  'rolled-back',
  'completed',
]);
export type RolloutPhase = z.infer<typeof RolloutPhase>;

/** An operator's order to move an upstream to a version, and its progress. */
export const Rollout = z.strictObject({
  upstream: Name,
  /** The target version, as reported by its endpoints. */
  version: z.string(),
  /**
   * Revision of the platform at which the order was made; identifies the order together with the
   * version.
   */
  orderedAt: z.number().int(),
  /** The highest revision at which the order was read. */
  revision: z.number().int(),
  /** Planned duration of the rollout, in milliseconds. */
  durationMs: z.number(),
  phase: RolloutPhase,
  /** Whether the platform records the rollout as under way. */
  isNoted: z.boolean(),
  /** Whether the operator has deleted the order. */
  isDeleted: z.boolean(),
});
export type Rollout = z.infer<typeof Rollout>;

/** Counts of one endpoint's answers to requests of one route since a rollout began. */
export const RouteAnswers = z.strictObject({
  route: z.string(),
  answered: z.number().int(),
  /** Of `answered`: errors, broken answers, and missing answers at the deadline. */
  failed: z.number().int(),
  /**
   * Of `answered`: those with a measured duration. `logSum` is the sum of the natural logarithms of
   * these durations in milliseconds.
   */
  timed: z.number().int(),
  logSum: z.number(),
});
export type RouteAnswers = z.infer<typeof RouteAnswers>;

/**
 * What one guard has observed of its endpoint. Counts only increase during the life of a process.
 */
export const Evidence = z.strictObject({
  instance: z.string(),
  /** Start time of the process that counted, in milliseconds since the epoch. */
  incarnation: z.number().int(),
  upstream: Name,
  /** Version of the endpoint. */
  version: z.string(),
  /** Identifier of the order that it was counted for: `version@orderedAt`. */
  order: z.string(),
  routes: z.array(RouteAnswers),
});
export type Evidence = z.infer<typeof Evidence>;

/** A version without an order, as found by a reader of the platform at a revision. */
export const VersionClearance = z.strictObject({
  upstream: Name,
  version: z.string(),
  revision: z.number().int(),
});
export type VersionClearance = z.infer<typeof VersionClearance>;

/** Orders, clearances and evidence that are new to the sender's neighbours. */
export const RolloutUpdate = z.strictObject({
  /** Whether the sender knows all orders, so that versions without an order here have none. */
  isComplete: z.boolean(),
  rollouts: z.array(Rollout),
  clearances: z.array(VersionClearance),
  evidence: z.array(Evidence),
});
export type RolloutUpdate = z.infer<typeof RolloutUpdate>;

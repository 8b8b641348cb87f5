/** Roll-outs: what processes tell each other while an upstream moves to another version. */
import * as z from 'zod';
import { Name } from './resource.js';

/**
 * How far a roll-out is, in the order in which phases override each other:
 *
 * - `trial`: the new version gets a small share of the requests.
 * - `proof`: it passed, and gets a large share for a moment.
 * - `promoting`: it gets all new requests; the old version finishes what it has begun.
 * - `withdrawn`: it was found to be bad, and gets nothing.
 * - `rolled-back`, `completed`: the same word as the platform has it, which is final.
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

/** An operator's order that an upstream move to a version, and how far that is. */
export const Rollout = z.strictObject({
  upstream: Name,
  /** The version to move to, as its endpoints report it. */
  version: z.string(),
  /** Revision of the platform at which the order was made; with the version it names the order. */
  orderedAt: z.number().int(),
  /** The highest revision at which the order was seen. */
  revision: z.number().int(),
  /** How long the operator gives it, in milliseconds. */
  durationMs: z.number(),
  phase: RolloutPhase,
  /** Whether the platform says that it is under way. */
  isNoted: z.boolean(),
  /** Whether the operator has taken the order back. */
  isDeleted: z.boolean(),
});
export type Rollout = z.infer<typeof Rollout>;

/** Answers of one endpoint to requests of one route, since a roll-out began. */
export const RouteAnswers = z.strictObject({
  route: z.string(),
  answered: z.number().int(),
  /** Of these: errors, broken answers, and none until the deadline. */
  failed: z.number().int(),
  /** Of these: timed ones, and the sum of the natural logarithms of their milliseconds. */
  timed: z.number().int(),
  logSum: z.number(),
});
export type RouteAnswers = z.infer<typeof RouteAnswers>;

/** What one guard has seen of its endpoint. All numbers only rise in one life of its process. */
export const Evidence = z.strictObject({
  instance: z.string(),
  /** Start of the process that counted. */
  incarnation: z.number().int(),
  upstream: Name,
  /** Version of the endpoint. */
  version: z.string(),
  /** The order it was counted for: its version, and the revision at which it was made. */
  order: z.string(),
  routes: z.array(RouteAnswers),
});
export type Evidence = z.infer<typeof Evidence>;

/** A version that no order asks for, found out by a reader of the platform at a revision. */
export const VersionClearance = z.strictObject({
  upstream: Name,
  version: z.string(),
  revision: z.number().int(),
});
export type VersionClearance = z.infer<typeof VersionClearance>;

/** What is news to the neighbours of its sender. */
export const RolloutNews = z.strictObject({
  /** Whether the sender knows all orders, so that what it does not name is not ordered. */
  isComplete: z.boolean(),
  rollouts: z.array(Rollout),
  clearances: z.array(VersionClearance),
  evidence: z.array(Evidence),
});
export type RolloutNews = z.infer<typeof RolloutNews>;

/** Messages by which two processes find the differences between their rosters. */
import * as z from 'zod';
import { Member } from './member.js';

/** Hash of each bucket of the sender's roster. */
export const BucketHashes = z.strictObject({ buckets: z.array(z.number().int()) });
export type BucketHashes = z.infer<typeof BucketHashes>;

/** Identifies a member record without its content. */
export const RosterEntry = z.strictObject({
  instance: z.string(),
  /** Hash of the record held of the instance. */
  hash: z.number().int(),
  /**
   * Whether the instance is dead or has left; only relevant to a receiver that considers it alive.
   */
  isGone: z.literal(true).optional(),
});
export type RosterEntry = z.infer<typeof RosterEntry>;

/** The buckets that differ, and all entries of the answering process in them. */
export const RosterDifference = z.strictObject({
  buckets: z.array(z.number().int()),
  entries: z.array(RosterEntry),
});
export type RosterDifference = z.infer<typeof RosterDifference>;

/** Records that the other end lacks, and instances whose records are requested. */
export const RosterExchange = z.strictObject({
  members: z.array(Member),
  wanted: z.array(z.string()),
});
export type RosterExchange = z.infer<typeof RosterExchange>;

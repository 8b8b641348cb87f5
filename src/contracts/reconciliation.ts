/** Messages with which two processes find out where their rosters differ. */
import * as z from 'zod';
import { Member } from './member.js';

/** Hash over each bucket of the sender's roster. */
export const BucketHashes = z.strictObject({ buckets: z.array(z.number().int()) });
export type BucketHashes = z.infer<typeof BucketHashes>;

/** Names a statement without its content. */
export const RosterEntry = z.strictObject({
  instance: z.string(),
  /** Hash of the statement held about it. */
  hash: z.number().int(),
  /** Whether it is dead or has left: news only to who believes it alive. */
  isGone: z.literal(true).optional(),
});
export type RosterEntry = z.infer<typeof RosterEntry>;

/** The buckets that differ, and all that the answering process holds in them. */
export const RosterDifference = z.strictObject({
  buckets: z.array(z.number().int()),
  entries: z.array(RosterEntry),
});
export type RosterDifference = z.infer<typeof RosterDifference>;

/** Statements that the other end lacks, and the instances whose statements are asked for. */
export const RosterExchange = z.strictObject({
  members: z.array(Member),
  wanted: z.array(z.string()),
});
export type RosterExchange = z.infer<typeof RosterExchange>;

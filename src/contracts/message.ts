/** Messages between processes: parameters and results of the JSON-RPC methods on a link. */
import { z } from 'zod';
import { Member } from './member.js';
import { Digest, Snapshot, Version } from './version.js';

/** First message on every link, both ways. */
export const Hello = z.strictObject({
  member: Member,
  version: z.number().int(),
  digest: Digest,
});
export type Hello = z.infer<typeof Hello>;

/** Sent on every link at a steady pace; its absence is what marks a link as silent. */
export const Heartbeat = z.strictObject({
  version: z.number().int(),
  digest: Digest,
  /** Short hash over the roster; a difference that lasts starts a reconciliation. */
  roster: z.string(),
});
export type Heartbeat = z.infer<typeof Heartbeat>;

/** Versions in order, sent down the tree without being asked for. */
export const Push = z.strictObject({ versions: z.array(Version) });
export type Push = z.infer<typeof Push>;

/** Asks for what follows a version. */
export const Pull = z.strictObject({ after: z.number().int().min(0) });
export type Pull = z.infer<typeof Pull>;

/** The versions asked for, or a snapshot when the log does not reach back that far. */
export const Pulled = z.strictObject({
  versions: z.array(Version),
  snapshot: Snapshot.optional(),
});
export type Pulled = z.infer<typeof Pulled>;

/** Statements about members that are news to the sender's neighbours. */
export const Gossip = z.strictObject({ members: z.array(Member) });
export type Gossip = z.infer<typeof Gossip>;

/** Asks for the highest version that was ever heard from an instance. */
export const Recall = z.strictObject({ instance: z.string() });
export type Recall = z.infer<typeof Recall>;

export const Recalled = z.strictObject({ version: z.number().int() });
export type Recalled = z.infer<typeof Recalled>;

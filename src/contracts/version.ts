/** Versions of the configuration: what is accepted, stored and distributed. */
import * as z from 'zod';
import { Resource, ResourceKey } from './resource.js';

export const Digest = z.string().regex(/^[0-9a-f]{64}$/);

/** Resources to hold from now on, and keys of resources to hold no longer. */
export const Change = z.strictObject({
  put: z.array(Resource),
  remove: z.array(ResourceKey),
});
export type Change = z.infer<typeof Change>;

/** The part of a version that every proxy receives and checks. */
export const Version = z.strictObject({
  number: z.number().int().min(1),
  /** Digest of the version that the change is made to; of the empty configuration at first. */
  parent: Digest,
  /** Digest over number, parent and the whole resulting configuration. */
  digest: Digest,
  /**
   * Set when the digest covers number and configuration only. A source that holds nothing but the
   * newest configuration lets readers skip versions, and two that skipped others must agree.
   */
  standsAlone: z.literal(true).optional(),
  /** Id of the release note that made it. */
  note: z.string(),
  /** Instant of acceptance by the accepting process, in milliseconds since the epoch. */
  acceptedAt: z.number(),
  change: Change,
});
export type Version = z.infer<typeof Version>;

export const Action = z.enum(['submit', 'amend', 'withdraw']);
export type Action = z.infer<typeof Action>;

/** One entry of the log in the platform: the version and how it came to be. Immutable. */
export const VersionRecord = z.strictObject({
  version: Version,
  action: Action,
  author: z.string(),
  /** Drawn by the writer; tells its own record from a rival's after a lost answer. */
  nonce: z.string(),
  /** Digest of the release note as submitted, which makes submission idempotent. */
  content: Digest,
  /** What restores the state from before the note. */
  undo: Change,
  /** Where `change` and `undo` are, by the digests of their parts, if they are too long for here. */
  parts: z.strictObject({ change: z.array(Digest), undo: z.array(Digest) }).optional(),
});
export type VersionRecord = z.infer<typeof VersionRecord>;

/** The stored form of a snapshot: which parts it is made of, in key order. */
export const SnapshotRecord = z.strictObject({
  number: z.number().int().min(1),
  digest: Digest,
  parent: Digest,
  /** Each part with the key of its first resource. */
  parts: z.array(z.strictObject({ from: ResourceKey, digest: Digest })),
});
export type SnapshotRecord = z.infer<typeof SnapshotRecord>;

/** A whole configuration at one version. */
export const Snapshot = z.strictObject({
  number: z.number().int().min(0),
  digest: Digest,
  /** Digest of the version before, from which the digest can be worked out again. */
  parent: Digest,
  resources: z.array(Resource),
});
export type Snapshot = z.infer<typeof Snapshot>;

/** Versions of the configuration, as accepted, stored and distributed. */
import * as z from 'zod';
import { Resource, ResourceKey } from './resource.js';

export const Digest = z.string().regex(/^[0-9a-f]{64}$/);

/** Resources to add or replace, and keys of resources to remove. */
export const Change = z.strictObject({
  put: z.array(Resource),
  remove: z.array(ResourceKey),
});
export type Change = z.infer<typeof Change>;

/** The part of a version that every proxy receives and checks. */
export const Version = z.strictObject({
  number: z.number().int().min(1),
  /**
   * Digest of the version that the change applies to; for the first, that of the empty
   * configuration.
   */
  parent: Digest,
  /** Digest over number, parent digest and the whole resulting configuration. */
  digest: Digest,
  /**
   * Set if the digest covers only number and configuration, without the parent. Readers of a source
   * that only holds the newest configuration may skip versions, and two that skipped different ones
   * must compute the same digest.
   */
  standsAlone: z.literal(true).optional(),
  /** Id of the release note that created it. */
  note: z.string(),
  /**
   * Instant of acceptance on the clock of the accepting process, in milliseconds since the epoch.
   */
  acceptedAt: z.number(),
  change: Change,
});
export type Version = z.infer<typeof Version>;

export const Action = z.enum(['submit', 'amend', 'withdraw']);
export type Action = z.infer<typeof Action>;

/** An entry of the log in the platform: a version and its origin. Immutable. */
export const VersionRecord = z.strictObject({
  version: Version,
  action: Action,
  author: z.string(),
  /**
   * Random value chosen by the writer; distinguishes its record from another writer's after a lost
   * answer.
   */
  nonce: z.string(),
  /** Digest of the release note as submitted; makes submission idempotent. */
  content: Digest,
  /** Change that restores the resources from before the release note. */
  undo: Change,
  /**
   * Digests of the parts in which `change` and `undo` are stored if they are too long for the
   * record.
   */
  parts: z.strictObject({ change: z.array(Digest), undo: z.array(Digest) }).optional(),
});
export type VersionRecord = z.infer<typeof VersionRecord>;

/** Stored form of a snapshot: the list of its parts, in key order. */
export const SnapshotRecord = z.strictObject({
  number: z.number().int().min(1),
  digest: Digest,
  parent: Digest,
  /** Each part, with the key of its first resource. */
  parts: z.array(z.strictObject({ from: ResourceKey, digest: Digest })),
});
export type SnapshotRecord = z.infer<typeof SnapshotRecord>;

/** A whole configuration at one version. */
export const Snapshot = z.strictObject({
  number: z.number().int().min(0),
  digest: Digest,
  /** Digest of the previous version, needed to recompute `digest`. */
  parent: Digest,
  resources: z.array(Resource),
});
export type Snapshot = z.infer<typeof Snapshot>;

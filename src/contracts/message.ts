/** Messages between processes: parameters and results of the JSON-RPC methods on a link. */
import * as z from 'zod';
import { Drain, Member } from './member.js';
import { Resource } from './resource.js';
import { Digest, Version } from './version.js';

/** First message on every link, in both directions. */
export const Hello = z.strictObject({
  member: Member,
  version: z.number().int(),
  digest: Digest,
  /**
   * Whether the process is certain to hold at least the highest version that its instance held
   * before.
   */
  isReady: z.boolean(),
});
export type Hello = z.infer<typeof Hello>;

/**
 * Number of hexadecimal digits of a digest in a heartbeat: enough to detect that two chains differ.
 */
const DIGEST_PREFIX_LENGTH = 8;

/**
 * Sent on every link at a fixed interval; a link without heartbeats is considered silent. It is
 * encoded as a list, because heartbeats are most of the traffic of an idle fleet.
 */
export const Heartbeat = z
  .tuple([z.number().int(), z.string(), z.string()])
  .transform(([version, digest, roster]) => ({ version, digest, roster }));

export interface Heartbeat {
  readonly version: number;
  /** Digest of that version; only its first digits are sent. */
  readonly digest: string;
  /** Short hash of the roster; a lasting difference starts a reconciliation. */
  readonly roster: string;
}

export function packHeartbeat({ version, digest, roster }: Heartbeat): unknown {
  return [version, digest.slice(0, DIGEST_PREFIX_LENGTH), roster];
}

/**
 * Announces the sender's version, so that a receiver that lacks it can pull it, and whether the
 * sender is ready.
 */
export const Ahead = z.strictObject({ version: z.number().int(), isReady: z.boolean() });
export type Ahead = z.infer<typeof Ahead>;

/** Versions in order, pushed down the tree. */
export const Push = z.strictObject({ versions: z.array(Version) });
export type Push = z.infer<typeof Push>;

/** Asks for the versions after `after`, or for one more page of a snapshot. */
export const Pull = z.strictObject({
  after: z.number().int().min(0),
  /** The version whose pages are being collected, and the number of resources received. */
  page: z.strictObject({ number: z.number().int(), offset: z.number().int().min(0) }).optional(),
  /**
   * Summary of the sender's configuration; used to answer with a difference if versions cannot be
   * used.
   */
  summary: z.array(z.number().int()).optional(),
});
export type Pull = z.infer<typeof Pull>;

/** A range of the resources of a whole configuration at one version, in key order. */
export const SnapshotPage = z.strictObject({
  number: z.number().int().min(0),
  digest: Digest,
  parent: Digest,
  /** Number of resources on the pages before. */
  offset: z.number().int().min(0),
  /** Number of resources on all pages. */
  total: z.number().int().min(0),
  resources: z.array(Resource),
});
export type SnapshotPage = z.infer<typeof SnapshotPage>;

/** The part of the sender's configuration that differs from the receiver's. */
export const Difference = z.strictObject({
  number: z.number().int().min(0),
  digest: Digest,
  parent: Digest,
  /** Buckets of the summary that differ. */
  buckets: z.array(z.number().int()),
  /** All resources in these buckets. */
  resources: z.array(Resource),
});
export type Difference = z.infer<typeof Difference>;

/**
 * The versions asked for, as many as fit; a difference or a page if the kept versions do not reach
 * back that far or a version is larger than a page; or neither if the peer is busy.
 */
export const Pulled = z.strictObject({
  versions: z.array(Version),
  difference: Difference.optional(),
  page: SnapshotPage.optional(),
  /** How long to wait before asking again, in milliseconds. */
  busyMs: z.number().optional(),
});
export type Pulled = z.infer<typeof Pulled>;

/** Member records that are new to the sender's neighbours. */
export const Gossip = z.strictObject({ members: z.array(Member) });
export type Gossip = z.infer<typeof Gossip>;

/**
 * Asks which version is remembered for an instance, from before the process that started as
 * `incarnation`.
 */
export const Recall = z.strictObject({ instance: z.string(), incarnation: z.number() });
export type Recall = z.infer<typeof Recall>;

export const Recalled = z.strictObject({
  /**
   * Highest version heard from the instance; absent if the answering process does not know it for
   * certain.
   */
  remembered: z.number().int().optional(),
  /** Version that the answering process holds itself. */
  holds: z.number().int(),
});
export type Recalled = z.infer<typeof Recalled>;

/** Asks for the drain announcement of the upstream instance next to a process, if known. */
export const DrainQuery = z.strictObject({ instance: z.string() });
export type DrainQuery = z.infer<typeof DrainQuery>;

export const DrainAnswer = z.strictObject({ drain: Drain.optional() });
export type DrainAnswer = z.infer<typeof DrainAnswer>;

/** Asks for the head of the log, as read by a reader after this request. */
export const Confirm = z.strictObject({
  /** Time within which the answer is needed, in milliseconds. */
  withinMs: z.number(),
});
export type Confirm = z.infer<typeof Confirm>;

export const Confirmed = z.strictObject({ head: z.number().int() });
export type Confirmed = z.infer<typeof Confirmed>;

/** Asks a process to read the source in place of the sender, which has lost contact with it. */
export const Delegation = z.strictObject({
  /** How long it is asked to, in milliseconds; the sender repeats the request before that. */
  forMs: z.number().int().min(1),
});
export type Delegation = z.infer<typeof Delegation>;

export const Delegated = z.strictObject({
  /** Whether the process reads the source; false if it does not reach it either. */
  isReading: z.boolean(),
});
export type Delegated = z.infer<typeof Delegated>;

/**
 * Sent several times a second between the processes of a data centre that may read the source, so that
 * the others notice soon when no reader runs any more. Encoded as a list, like a heartbeat.
 */
export const ReaderHeartbeat = z
  .tuple([z.number().min(0)])
  .transform(([silentMs]) => ({ silentMs }));

export interface ReaderHeartbeat {
  /** Time since a reader of the data centre was last known to run, in milliseconds. */
  readonly silentMs: number;
}

export function packReaderHeartbeat({ silentMs }: ReaderHeartbeat): unknown {
  return [Math.round(silentMs)];
}

/** Announces that the sender reads the source, so that it may hold versions that no peer has heard of. */
export const Reading = z.strictObject({});
export type Reading = z.infer<typeof Reading>;

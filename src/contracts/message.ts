/** Messages between processes: parameters and results of the JSON-RPC methods on a link. */
import * as z from 'zod';
import { Drain, Member } from './member.js';
import { Resource } from './resource.js';
import { Digest, Version } from './version.js';

/** First message on every link, both ways. */
export const Hello = z.strictObject({
  member: Member,
  version: z.number().int(),
  digest: Digest,
  /** Whether it knows that it is not behind what its instance held before. */
  isReady: z.boolean(),
});
export type Hello = z.infer<typeof Hello>;

/** Hexadecimal digits of a digest that a heartbeat carries: enough to see two chains differ. */
const PREFIX_DIGITS = 8;

/**
 * Sent on every link at a steady pace; its absence is what marks a link as silent. It goes as a
 * list, because it is most of what an idle fleet sends.
 */
export const Heartbeat = z
  .tuple([z.number().int(), z.string(), z.string()])
  .transform(([version, digest, roster]) => ({ version, digest, roster }));

export interface Heartbeat {
  readonly version: number;
  /** Digest of that version; its first digits on the wire. */
  readonly digest: string;
  /** Short hash over the roster; a difference that lasts starts a reconciliation. */
  readonly roster: string;
}

export function packHeartbeat({ version, digest, roster }: Heartbeat): unknown {
  return [version, digest.slice(0, PREFIX_DIGITS), roster];
}

/** Tells what the sender holds, so that whoever lacks it can pull it, and that it is ready. */
export const Ahead = z.strictObject({ version: z.number().int(), isReady: z.boolean() });
export type Ahead = z.infer<typeof Ahead>;

/** Versions in order, sent down the tree without being asked for. */
export const Push = z.strictObject({ versions: z.array(Version) });
export type Push = z.infer<typeof Push>;

/** Asks for what follows a version, or for one more page of a snapshot. */
export const Pull = z.strictObject({
  after: z.number().int().min(0),
  /** The version whose pages are being collected, and how many resources have come. */
  page: z.strictObject({ number: z.number().int(), offset: z.number().int().min(0) }).optional(),
  /** Summary of what the sender holds, by which it is told the difference where versions do not fit. */
  summary: z.array(z.number().int()).optional(),
});
export type Pull = z.infer<typeof Pull>;

/** A run of the resources, in key order, of the whole configuration at one version. */
export const SnapshotPage = z.strictObject({
  number: z.number().int().min(0),
  digest: Digest,
  parent: Digest,
  /** Resources on the pages before. */
  offset: z.number().int().min(0),
  /** Resources on all pages. */
  total: z.number().int().min(0),
  resources: z.array(Resource),
});
export type SnapshotPage = z.infer<typeof SnapshotPage>;

/** What the configuration of one process has where that of another differs. */
export const Difference = z.strictObject({
  number: z.number().int().min(0),
  digest: Digest,
  parent: Digest,
  /** Buckets of the summary that differ. */
  buckets: z.array(z.number().int()),
  /** All resources in them. */
  resources: z.array(Resource),
});
export type Difference = z.infer<typeof Difference>;

/**
 * The versions asked for, as many as fit; the difference or a page when the log does not reach back that far or a
 * version is larger than a page; or neither from a peer that is busy.
 */
export const Pulled = z.strictObject({
  versions: z.array(Version),
  difference: Difference.optional(),
  page: SnapshotPage.optional(),
  /** How long to stay away before asking again, in milliseconds. */
  busyMs: z.number().optional(),
});
export type Pulled = z.infer<typeof Pulled>;

/** Statements about members that are news to the sender's neighbours. */
export const Gossip = z.strictObject({ members: z.array(Member) });
export type Gossip = z.infer<typeof Gossip>;

/** Asks what is known of an instance before the process that started as `incarnation`. */
export const Recall = z.strictObject({ instance: z.string(), incarnation: z.number() });
export type Recall = z.infer<typeof Recall>;

export const Recalled = z.strictObject({
  /** Highest version heard from the instance; absent if the answering process cannot tell. */
  remembered: z.number().int().optional(),
  /** Version the answering process holds itself. */
  holds: z.number().int(),
});
export type Recalled = z.infer<typeof Recalled>;

/** Asks what the upstream instance beside a process said when it left, if that is known. */
export const DrainQuery = z.strictObject({ instance: z.string() });
export type DrainQuery = z.infer<typeof DrainQuery>;

export const DrainAnswer = z.strictObject({ drain: Drain.optional() });
export type DrainAnswer = z.infer<typeof DrainAnswer>;

/** Asks for the end of the log, as a reader finds it in the platform after being asked. */
export const Confirm = z.strictObject({
  /** Time in which the answer is of use, in milliseconds. */
  withinMs: z.number(),
});
export type Confirm = z.infer<typeof Confirm>;

export const Confirmed = z.strictObject({ head: z.number().int() });
export type Confirmed = z.infer<typeof Confirmed>;

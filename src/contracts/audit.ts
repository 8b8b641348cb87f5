/** The audit trail: who did what to the configuration, when, and how it ended. */
import * as z from 'zod';
import { Action } from './version.js';

/** One thing that is wrong, and where. */
export const Problem = z.strictObject({
  /** Such as `route/menus.upstream`. */
  path: z.string(),
  message: z.string(),
});
export type Problem = Readonly<z.infer<typeof Problem>>;

/** One release note handed in, amended or withdrawn, whether it was accepted or not. */
export const AuditEntry = z.strictObject({
  /** Instant of the outcome at the deciding process, in milliseconds since the epoch. */
  at: z.number(),
  author: z.string(),
  action: Action,
  note: z.string(),
  outcome: z.enum(['accepted', 'refused', 'conflict']),
  /** The version it became, if it was accepted. */
  version: z.number().int().optional(),
  /** Keys of resources that it touched or, in a conflict, that it must not touch. */
  resources: z.array(z.string()),
  problems: z.array(Problem),
  /** The other note of a conflict. */
  rival: z.string().optional(),
  /** How many resources and problems are left out, since an entry's size is bounded. */
  omitted: z.number().int(),
});
export type AuditEntry = z.infer<typeof AuditEntry>;

/** Where a page of the audit trail starts: after these, in the log and among the refusals. */
export const AuditCursor = z.strictObject({
  version: z.number().int().min(0),
  refusal: z.string(),
});
export type AuditCursor = z.infer<typeof AuditCursor>;

/** Entries in time order; `next` is absent on the last page. */
export const AuditPage = z.strictObject({
  entries: z.array(AuditEntry),
  next: AuditCursor.optional(),
});
export type AuditPage = z.infer<typeof AuditPage>;

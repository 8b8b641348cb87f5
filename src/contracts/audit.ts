/** The audit trail: who changed what in the configuration, when, and with what outcome. */
import * as z from 'zod';
import { Action } from './version.js';

/** A problem with a release note or a configuration, and its location. */
export const Problem = z.strictObject({
  /** Location, such as `route/menus.upstream`. */
  path: z.string(),
  message: z.string(),
});
export type Problem = Readonly<z.infer<typeof Problem>>;

/** A release note that was submitted, amended or withdrawn, whether it was accepted or not. */
export const AuditEntry = z.strictObject({
  /**
   * Instant of the outcome on the clock of the deciding process, in milliseconds since the epoch.
   */
  at: z.number(),
  author: z.string(),
  action: Action,
  note: z.string(),
  outcome: z.enum(['accepted', 'refused', 'conflict']),
  /** The version that it became, if it was accepted. */
  version: z.number().int().optional(),
  /** Keys of the resources that it changed or, for a conflict, of those that conflict. */
  resources: z.array(z.string()),
  problems: z.array(Problem),
  /** Id of the other note, for a conflict. */
  rival: z.string().optional(),
  /** Number of resources and problems left out to bound the size of the entry. */
  omitted: z.number().int(),
});
export type AuditEntry = z.infer<typeof AuditEntry>;

/** Position after which a page of the audit trail starts, in the log and among the refusals. */
export const AuditCursor = z.strictObject({
  version: z.number().int().min(0),
  refusal: z.string(),
});
export type AuditCursor = z.infer<typeof AuditCursor>;

/** Entries in order of time; `next` is absent on the last page. */
export const AuditPage = z.strictObject({
  entries: z.array(AuditEntry),
  next: AuditCursor.optional(),
});
export type AuditPage = z.infer<typeof AuditPage>;

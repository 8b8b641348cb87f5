/** Messages by which processes share the quotas of teams, as lists to keep them short. */
import * as z from 'zod';

/**
 * What a process states about one team. Shares are in millionths of the quota. Counts of tokens are
 * totals of the session, so a message that is lost or repeated does no harm.
 */
export const TeamReport = z.tuple([
  /** Number of the team, a hash of its name; see `teamLimitsOf`. */
  z.number().int(),
  /**
   * Requests asked for, in hundredths of a request per second, refused ones included: a fast and a
   * slow average.
   */
  z.number().int().min(0),
  z.number().int().min(0),
  /** Tokens of the parent that are used up. */
  z.number().int().min(0),
  /** Tokens of the parent that are handed back unused. */
  z.number().int().min(0),
  /** Tokens wanted. */
  z.number().int().min(0),
  /** Requests that wait for a token; part of the tokens wanted. */
  z.number().int().min(0),
  /** Share that this process cannot give back yet. */
  z.number().int().min(0),
  /** Share of its data centre that it delegates for this team. */
  z.number().int().min(0),
  /** Tokens given back that the parent counts as used up: their requests were not run, or came too late. */
  z.number().int().min(0),
]);
export type TeamReport = z.infer<typeof TeamReport>;

/** A report of a process to its parent. */
export const QuotaReport = z.tuple([
  /** Identifies the session, which begins with the process and with each change of its parent. */
  z.number().int(),
  /** Number of this report within the session. */
  z.number().int().min(1),
  /** Number of the last report whose answer was accepted; 0 if none. */
  z.number().int().min(0),
  /** How long after that answer was sent its delegated shares may be used, in milliseconds. */
  z.number().int().min(0),
  /** Share of every team that this process delegates. */
  z.number().int().min(0),
  /** Share of the start credit of every team that it has passed on in this session. */
  z.number().int().min(0),
  z.array(TeamReport),
]);
export type QuotaReport = z.infer<typeof QuotaReport>;

/** What the parent assigns for one team. */
export const TeamGrant = z.tuple([
  /** Number of the team, as in the report. */
  z.number().int(),
  /** Leased share of the quota, in millionths. */
  z.number().int().min(0),
  /** Tokens granted in this session. */
  z.number().int().min(0),
  /** Tokens for requests that wait, used up by them at once; not among those granted. */
  z.number().int().min(0),
  /** Time until more tokens are available, in milliseconds; 0 if there are some. */
  z.number().int().min(0),
]);
export type TeamGrant = z.infer<typeof TeamGrant>;

/** The answer to a report. Shares that it does not mention are withdrawn. */
export const QuotaAnswer = z.tuple([
  /** Number of the report. */
  z.number().int().min(1),
  /** How long after the report was sent the leased shares are valid, in milliseconds. */
  z.number().int().min(0),
  z.array(TeamGrant),
]);
export type QuotaAnswer = z.infer<typeof QuotaAnswer>;

/** File format of load patterns: requests, upstream instances and scheduled changes. */
import { readFile } from 'node:fs/promises';
import * as z from 'zod';

const Instances = z.object({
  dataCentre: z.string(),
  slots: z.number().int().positive(),
  /** Work done per unit of time, relative to a usual instance. */
  speed: z.number().positive().default(1),
  /** Bandwidth of the link that carries answers, in kilobits per second; unlimited when absent. */
  linkKbps: z.number().positive().optional(),
});

const PatternUpstream = z.object({ name: z.string(), instances: z.array(Instances).min(1) });

/** A kind of request. Times are in milliseconds. */
export const RequestKind = z.object({
  name: z.string(),
  upstream: z.string(),
  /** External requests over all data centres; 0 for a kind that only other requests call. */
  perSecond: z.number().min(0),
  workMs: z.number().positive(),
  /** Largest deviation of the work, up and down, as a share of `workMs`. */
  spread: z.number().min(0).max(1).default(0.5),
  targetMs: z.number().positive(),
  /** Longest time that callers wait; each waits up to 15% less. */
  waitMs: z.number().positive(),
  timeoutMs: z.number().positive(),
  priority: z.number().int().min(0).max(9).default(5),
  isRepeatable: z.boolean().default(true),
  /** How often a caller retries. */
  retries: z.number().int().min(0).default(2),
  worth: z.number().min(0).default(1),
  answerBytes: z.number().min(0).default(1_500),
  /** Largest deviation of the answer size, up and down, as a share of `answerBytes`. */
  answerSpread: z.number().min(0).max(1).default(0),
  /** A nested request that a share of these requests makes while holding its slot. */
  call: z.object({ kind: z.string(), share: z.number().min(0).max(1) }).optional(),
});
export type RequestKind = z.infer<typeof RequestKind>;

/** A team of callers, which has a key and requests within its quota. */
const PatternTeam = z.object({
  name: z.string(),
  /** Share of the requests of each of its kinds, relative to the other teams. */
  weight: z.number().positive().default(1),
  /** The kinds that it requests; all when absent. */
  kinds: z.array(z.string()).optional(),
});
export type PatternTeam = z.infer<typeof PatternTeam>;

/**
 * A change that begins at second `at`.
 * - `burst`: `factor` times the usual requests, in `dataCentre` or everywhere.
 * - `shift`: a share of all callers moves to `dataCentre`.
 * - `slow`: work at a share of the instances takes `factor` times as long.
 * - `grey`: a share of the instances refuses the fraction `factor` of its requests for lack of slots.
 * - `limited`: a share of the instances states a rate limit of `factor` requests per second.
 * - `gone`: a share of the instances is down.
 * - `cut`: network partition between `dataCentre` and all others.
 * - `herd`: all processes are down, and restart with no state.
 */
const PatternChange = z.object({
  what: z.enum(['burst', 'shift', 'slow', 'grey', 'limited', 'gone', 'cut', 'herd']),
  at: z.number().min(0),
  forSeconds: z.number().positive(),
  factor: z.number().positive().default(1),
  share: z.number().min(0).max(1).default(1),
  upstream: z.string().optional(),
  dataCentre: z.string().optional(),
});
export type PatternChange = z.infer<typeof PatternChange>;

export const Pattern = z
  .object({
    name: z.string(),
    /** Purpose of the pattern, and what a caller observes. */
    about: z.string(),
    seconds: z.number().positive().max(600),
    upstreams: z.array(PatternUpstream).min(1),
    kinds: z.array(RequestKind).min(1),
    /** External requests of a kind that no team has come from callers without a team. */
    teams: z.array(PatternTeam).default([]),
    changes: z.array(PatternChange).default([]),
  })
  .superRefine(({ kinds, upstreams, teams }, context) => {
    const served = new Set(upstreams.map(({ name }) => name));
    const named = new Set(kinds.map(({ name }) => name));
    const message = (name: string, what: string) =>
      context.addIssue(`${name}: ${what} is not in the pattern`);
    for (const { name, upstream, call } of kinds) {
      if (!served.has(upstream)) message(name, `upstream ${upstream}`);
      if (call && !named.has(call.kind)) message(name, `kind ${call.kind}`);
    }
    for (const team of teams) {
      for (const kind of team.kinds ?? []) {
        if (!named.has(kind)) message(team.name, `kind ${kind}`);
      }
    }
  });
export type Pattern = z.infer<typeof Pattern>;

/** Reads and validates a pattern; rejects with the file and the location of each error. */
export async function readPattern(file: string): Promise<Pattern> {
  const parsed = Pattern.safeParse(JSON.parse(await readFile(file, 'utf8')));
  if (!parsed.success) throw new Error(`${file}: ${z.prettifyError(parsed.error)}`);
  return parsed.data;
}

/** Load patterns as files: who asks for what, who serves it, and what happens meanwhile. */
import { readFile } from 'node:fs/promises';
import * as z from 'zod';

const Instances = z.object({
  dataCentre: z.string(),
  slots: z.number().int().positive(),
  /** Work done per unit of time; 1 is usual. */
  speed: z.number().positive().default(1),
  /** What the link carries by which answers leave, in kilobits a second; any amount when absent. */
  linkKbps: z.number().positive().optional(),
});

const Upstream = z.object({ name: z.string(), instances: z.array(Instances).min(1) });

/** A kind of request. Times are in milliseconds. */
export const Kind = z.object({
  name: z.string(),
  upstream: z.string(),
  /** From outside, over all data centres; 0 for what only other requests call. */
  perSecond: z.number().min(0),
  workMs: z.number().positive(),
  /** Work varies by so much of it, up and down. */
  spread: z.number().min(0).max(1).default(0.5),
  targetMs: z.number().positive(),
  /** How long its callers wait; each up to 15 in 100 less. */
  waitMs: z.number().positive(),
  timeoutMs: z.number().positive(),
  priority: z.number().int().min(0).max(9).default(5),
  isRepeatable: z.boolean().default(true),
  /** How often a caller asks again. */
  retries: z.number().int().min(0).default(2),
  worth: z.number().min(0).default(1),
  answerBytes: z.number().min(0).default(1_500),
  /** Its answers vary by so much of that, up and down. */
  answerSpread: z.number().min(0).max(1).default(0),
  /** What a share of these requests asks for while it holds its slot. */
  call: z.object({ kind: z.string(), share: z.number().min(0).max(1) }).optional(),
});
export type Kind = z.infer<typeof Kind>;

/**
 * - `burst`: `factor` times the requests, of `dataCentre` or of all.
 * - `shift`: so much of all callers moves to `dataCentre`.
 * - `slow`: work at a share of the instances takes `factor` times as long.
 * - `grey`: a share of the instances refuses `factor` of what it gets, for lack of room.
 * - `gone`: a share of the instances is away.
 * - `cut`: `dataCentre` reaches no other one.
 * - `herd`: all processes are away, and have forgotten everything afterwards.
 */
const Change = z.object({
  what: z.enum(['burst', 'shift', 'slow', 'grey', 'gone', 'cut', 'herd']),
  at: z.number().min(0),
  forSeconds: z.number().positive(),
  factor: z.number().positive().default(1),
  share: z.number().min(0).max(1).default(1),
  upstream: z.string().optional(),
  dataCentre: z.string().optional(),
});
export type Change = z.infer<typeof Change>;

export const Pattern = z
  .object({
    name: z.string(),
    /** What it shows, and what a caller would see. */
    about: z.string(),
    seconds: z.number().positive().max(600),
    upstreams: z.array(Upstream).min(1),
    kinds: z.array(Kind).min(1),
    changes: z.array(Change).default([]),
  })
  .superRefine(({ kinds, upstreams }, context) => {
    const served = new Set(upstreams.map(({ name }) => name));
    const named = new Set(kinds.map(({ name }) => name));
    for (const { name, upstream, call } of kinds) {
      const message = (what: string) => context.addIssue(`${name}: ${what} is not in the pattern`);
      if (!served.has(upstream)) message(`upstream ${upstream}`);
      if (call && !named.has(call.kind)) message(`kind ${call.kind}`);
    }
  });
export type Pattern = z.infer<typeof Pattern>;

/** Reads a pattern; rejects with what is wrong in it, and where. */
export async function readPattern(file: string): Promise<Pattern> {
  const parsed = Pattern.safeParse(JSON.parse(await readFile(file, 'utf8')));
  if (!parsed.success) throw new Error(`${file}: ${z.prettifyError(parsed.error)}`);
  return parsed.data;
}

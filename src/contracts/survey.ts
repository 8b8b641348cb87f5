/** Surveys: which versions the processes of the fleet hold. */
import * as z from 'zod';

/** A process that is behind the head or has refused a version, and the reason. */
export const Laggard = z.strictObject({
  instance: z.string(),
  dataCentre: z.string(),
  version: z.number().int(),
  reason: z.string(),
});
export type Laggard = z.infer<typeof Laggard>;

export const VersionCount = z.strictObject({
  version: z.number().int(),
  processes: z.number().int(),
});

/** Result of a survey; each process counts for its part of the tree. */
export const Survey = z.strictObject({
  /** Number of processes by the version that they hold. */
  holding: z.array(VersionCount),
  /** Processes that are behind the head or have refused a version; at most `MAX_SURVEY_ENTRIES`. */
  laggards: z.array(Laggard),
  /** Number of processes that did not answer; they are never counted as holding a version. */
  unknownProcesses: z.number().int(),
  /** Instances of these processes; at most `MAX_SURVEY_ENTRIES`. */
  unknown: z.array(z.string()),
  /** Data centres from which no process answered. */
  unreached: z.array(z.string()),
});
export type Survey = z.infer<typeof Survey>;

export const SurveyQuery = z.strictObject({
  scope: z.enum(['subtree', 'data-centre', 'fleet']),
  /** The highest version known to the process that started the survey. */
  head: z.number().int(),
  /**
   * Time within which the answer is needed, in milliseconds; decreases with each level of the tree.
   */
  withinMs: z.number(),
});
export type SurveyQuery = z.infer<typeof SurveyQuery>;

/**
 * Maximum number of processes listed by name: enough to see a problem, and bounds the size of the
 * answer.
 */
export const MAX_SURVEY_ENTRIES = 50;

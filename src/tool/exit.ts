/**
 * Exit codes of the tool.
 *
 * - `ok`: done; for a note, it is accepted, now or by an earlier identical command.
 * - `failed`: not done, and nothing was written; for example, no process could be reached.
 * - `usage`: invalid command line.
 * - `refused`: the note is invalid; every problem is listed with its path.
 * - `conflict`: another note touched the same resources, which are listed.
 * - `unknown`: the note may have been accepted; run the same command again to find out.
 */
export const EXIT = { ok: 0, failed: 1, usage: 2, refused: 3, conflict: 4, unknown: 5 } as const;

/** A command line that is not accepted. */
export class UsageError extends Error {
  override readonly name = 'UsageError';
}

/**
 * Exit codes of the tool.
 *
 * - `ok`: done, or accepted, now or when the same was handed in before.
 * - `failed`: not done, and nothing was written; such as a process that cannot be reached.
 * - `usage`: the command line cannot be understood.
 * - `refused`: the note is at fault; every problem is listed by path.
 * - `conflict`: another note touched the same resources, which are named.
 * - `unknown`: it may have been accepted; hand the same in again to find out.
 */
export const EXIT = { ok: 0, failed: 1, usage: 2, refused: 3, conflict: 4, unknown: 5 } as const;

/** Sleeps that several signals can end. */
import { type Clock } from './clock.js';

/**
 * Resolves at `deadline` (milliseconds since the epoch) or when one of the signals aborts. For signals that
 * live as long as the process: `AbortSignal.any` keeps some memory of each call for as long as they exist.
 */
export async function sleepUntilAny(
  clock: Clock,
  deadline: number,
  signals: readonly AbortSignal[],
): Promise<void> {
  if (signals.some(({ aborted }) => aborted)) return;
  const ended = new AbortController();
  const end = () => ended.abort();
  for (const signal of signals) signal.addEventListener('abort', end, { once: true });
  await clock.sleepUntil(deadline, ended.signal);
  for (const signal of signals) signal.removeEventListener('abort', end);
}

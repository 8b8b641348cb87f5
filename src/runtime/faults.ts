/**
 * Faults of the program that are caught outside of any request. By default one exception in an event
 * listener, or one rejected promise that nobody awaits, ends the process with all requests in flight.
 * Here it ends only the task in which it occurs, and is counted and reported.
 */
import { setMaxListeners } from 'node:events';
import { type Clock } from './clock.js';

/** Wait before a failed task is started again, in milliseconds; it doubles with each failure in a row. */
const MIN_RESTART_MS = 100;
const MAX_RESTART_MS = 5_000;

/** Called with the place in the program and the error. */
export type FaultListener = (place: string, error: unknown) => void;

const listeners = new Set<FaultListener>();
const counts = new Map<string, number>();

/** Number of faults since the process started, by place. */
export function faultCounts(): ReadonlyMap<string, number> {
  return counts;
}

/** Calls `listener` with each fault of the process until the result is disposed. */
export function onFault(listener: FaultListener): Disposable {
  listeners.add(listener);
  return { [Symbol.dispose]: () => listeners.delete(listener) };
}

/** Counts a fault and tells the listeners. `place` is a constant: counts are kept for each of them. */
export function reportFault(place: string, error: unknown): void {
  counts.set(place, (counts.get(place) ?? 0) + 1);
  for (const listener of listeners) {
    try {
      listener(place, error);
    } catch {
      // The count tells of the fault; an exception here would end the process.
    }
  }
}

/**
 * Runs a task that nobody awaits. Every promise that is not awaited goes through here.
 *
 * @example
 * ```ts
 * runInBackground('pull', this.#run());
 * ```
 */
export function runInBackground(place: string, task: Promise<unknown>): void {
  task.catch((error: unknown) => reportFault(place, error));
}

/** Calls each listener; one that throws keeps neither the others from hearing nor the caller from going on. */
export function callEach<Args extends readonly unknown[]>(
  place: string,
  callbacks: Iterable<(...args: Args) => void>,
  ...args: Args
): void {
  for (const callback of callbacks) {
    try {
      callback(...args);
    } catch (error) {
      reportFault(place, error);
    }
  }
}

/**
 * Runs a task that has to run as long as the process. It is started again, with backoff, when it fails:
 * otherwise the process would go on without it, and for example send no heartbeats any more. Resolves
 * when the task has ended by itself, or after a failure once `signal` aborts. The signal of each start
 * also aborts when the task fails, so that no part of it runs on beside the next start.
 */
export async function keepRunning(
  place: string,
  run: (signal: AbortSignal) => Promise<void>,
  signal: AbortSignal,
  clock: Clock,
): Promise<void> {
  let waitMs = MIN_RESTART_MS;
  while (true) {
    const startedAt = clock.now();
    try {
      await runOnce(run, signal);
      return;
    } catch (error) {
      reportFault(place, error);
    }
    if (signal.aborted) return;
    if (clock.now() - startedAt > MAX_RESTART_MS) waitMs = MIN_RESTART_MS;
    await clock.sleepUntil(clock.now() + waitMs, signal);
    if (signal.aborted) return;
    waitMs = Math.min(MAX_RESTART_MS, 2 * waitMs);
  }
}

async function runOnce(
  run: (signal: AbortSignal) => Promise<void>,
  signal: AbortSignal,
): Promise<void> {
  const ended = new AbortController();
  // One listener per sleep of each part of the task; Node.js logs a warning above ten by default.
  setMaxListeners(0, ended.signal);
  const end = () => ended.abort();
  if (signal.aborted) end();
  signal.addEventListener('abort', end, { once: true });
  try {
    await run(ended.signal);
  } catch (error) {
    end();
    throw error;
  } finally {
    signal.removeEventListener('abort', end);
  }
}

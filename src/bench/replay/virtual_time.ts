/** Runs tasks in virtual time: when all tasks wait, the clock advances to the next timer. */
import FakeTimers from '@sinonjs/fake-timers';

const START = 1_000_000_000_000;

/**
 * Resolves to the result of `run`. Only one call may be active at a time, since the timers of this
 * process are replaced.
 */
export async function inVirtualTime<T>(run: () => Promise<T>): Promise<T> {
  const timers = FakeTimers.install({
    now: START,
    toFake: ['setTimeout', 'clearTimeout', 'Date'],
  });
  try {
    let isDone = false;
    const result = run().finally(() => {
      isDone = true;
    });
    // Prevents an unhandled rejection; an error is thrown below, where `result` is awaited.
    result.catch(() => {});
    while (!isDone) {
      await runPendingTasks();
      if (!isDone) timers.next();
    }
    return await result;
  } finally {
    timers.uninstall();
  }
}

/** Resolves once everything that does not wait for a timer has run. */
function runPendingTasks(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Plays tasks that wait by timers in no time: when all of them wait, the clock leaps on. */
import FakeTimers from '@sinonjs/fake-timers';

const START = 1_000_000_000_000;

/** Resolves to what `run` resolves to. One at a time: the timers of this process are replaced. */
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
    // An error of it is thrown below, where it is awaited.
    result.catch(() => {});
    while (!isDone) {
      await settled();
      if (!isDone) timers.next();
    }
    return await result;
  } finally {
    timers.uninstall();
  }
}

/** Whatever can go on without time passing has done so. */
function settled(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

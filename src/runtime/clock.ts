/** Source of time, which tests replace. All instants are in milliseconds since the epoch. */
export abstract class Clock {
  /** Current instant in milliseconds; never goes backwards within one process. */
  abstract now(): number;

  /**
   * Resolves at `deadline` or when `signal` aborts. Never rejects, so that a loop can end by
   * checking its signal.
   */
  abstract sleepUntil(deadline: number, signal?: AbortSignal): Promise<void>;
}

/**
 * The machine's clock: set once from the wall clock, it then follows the monotonic clock, so that a
 * jump of the wall clock does not fire or postpone all deadlines at once.
 */
export class MachineClock extends Clock {
  readonly #anchor = Date.now() - performance.now();

  now(): number {
    return this.#anchor + performance.now();
  }

  sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    return sleepWithTimer(deadline - this.now(), signal);
  }
}

/** A clock based on `Date` and the global timers, which fake timers replace in tests. */
export class TimerClock extends Clock {
  now(): number {
    return Date.now();
  }

  sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    return sleepWithTimer(deadline - this.now(), signal);
  }
}

function sleepWithTimer(delay: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    // Timers drop fractions of a millisecond and would fire before the deadline.
    const timer = setTimeout(finish, Math.ceil(Math.max(0, delay)));
    signal?.addEventListener('abort', finish, { once: true });
  });
}

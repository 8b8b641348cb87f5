/** Time as the decisions see it. All instants are milliseconds since the epoch. */
export abstract class Clock {
  /** Current instant in milliseconds. Never runs backwards within one process. */
  abstract now(): number;

  /**
   * Resolves at `deadline`, or as soon as `signal` aborts; it never rejects, so that a task's
   * loop can end by checking its signal.
   */
  abstract sleepUntil(deadline: number, signal?: AbortSignal): Promise<void>;
}

/**
 * The machine's clock. It is anchored once to the wall clock and then follows the monotonic
 * clock: a jump of the wall clock would otherwise fire, or postpone, every deadline at once.
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

/** A clock over the global timers, which fake timers replace in tests. */
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
    // Timers drop fractions: rounded down, they would fire before the deadline.
    const timer = setTimeout(finish, Math.ceil(Math.max(0, delay)));
    signal?.addEventListener('abort', finish, { once: true });
  });
}

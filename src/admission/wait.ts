/** The wait of one job for a slot, which ends when it starts or is cancelled. */
import { type OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';

export class Wait {
  readonly #controller = new AbortController();

  #isOver = false;

  #timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly clock: Clock,
    /** Called once, when the job no longer waits. */
    private readonly onEnd: () => void,
  ) {}

  /** Aborts when the job is cancelled. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Calls `callback` at an instant, unless the wait is over by then; replaces the one before. */
  callAt(instant: number, callback: () => void): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(callback, instant - this.clock.now());
  }

  /** Ends the wait, since the job starts or was cancelled. */
  end(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    clearTimeout(this.#timer);
    this.onEnd();
  }

  /** Has no effect on a job that has started: it would free a slot that the instance still uses. */
  cancel(error: OutcomeError): void {
    if (this.#isOver) return;
    this.end();
    this.#controller.abort(error);
  }
}

/** A clock that a test advances millisecond by millisecond, cheaper than fake timers for a fleet. */
import { Clock } from '../../runtime/clock.js';

type Action = () => void;

export class SimulatedTime {
  now = 1_000_000;

  readonly #actions = new Map<number, Action[]>();

  at(instant: number, action: Action): void {
    const due = Math.max(this.now + 1, Math.ceil(instant));
    const actions = this.#actions.get(due);
    if (actions) actions.push(action);
    else this.#actions.set(due, [action]);
  }

  /** Moves on by a millisecond; whether anything was due. */
  step(): boolean {
    this.now += 1;
    const actions = this.#actions.get(this.now);
    if (!actions) return false;
    this.#actions.delete(this.now);
    for (const action of actions) action();
    return true;
  }
}

/** The clock of one process, whose timers can be held up. */
export class SimulatedClock extends Clock {
  #heldUp: Action[] | undefined;

  /** How far this clock is behind because its machine was suspended, in milliseconds. */
  #behindMs = 0;

  #suspendedAt: number | undefined;

  constructor(private readonly time: SimulatedTime) {
    super();
  }

  get isPaused(): boolean {
    return this.#heldUp !== undefined;
  }

  /** The wall clock of the machine. */
  wallClock(): number {
    return this.time.now;
  }

  now(): number {
    return (this.#suspendedAt ?? this.time.now) - this.#behindMs;
  }

  sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const finish = () => {
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      signal?.addEventListener('abort', finish, { once: true });
      this.#wakeAt(deadline, finish);
    });
  }

  /** Calls `action` unless the process is paused; otherwise when it resumes. */
  run(action: Action): void {
    if (this.#heldUp) this.#heldUp.push(action);
    else action();
  }

  /** Stops the process; with `isSuspended`, its clock as well. */
  pause(isSuspended: boolean): void {
    this.#heldUp ??= [];
    if (isSuspended) this.#suspendedAt = this.time.now;
  }

  resume(): void {
    if (this.#suspendedAt !== undefined) this.#behindMs += this.time.now - this.#suspendedAt;
    this.#suspendedAt = undefined;
    const heldUp = this.#heldUp ?? [];
    this.#heldUp = undefined;
    for (const action of heldUp) action();
  }

  #wakeAt(deadline: number, resolve: Action): void {
    this.time.at(deadline + this.#behindMs, () =>
      this.run(() => {
        if (this.now() < deadline) this.#wakeAt(deadline, resolve);
        else resolve();
      }),
    );
  }
}

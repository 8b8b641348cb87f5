/** Stand-in for a paused process: while the gate is shut, nothing gets through to it or from it. */
import { Clock } from '../runtime/clock.js';

export class Gate {
  #opened: Promise<void> | undefined;

  #open = () => {};

  get isShut(): boolean {
    return this.#opened !== undefined;
  }

  shut(): void {
    this.#opened ??= new Promise((resolve) => {
      this.#open = resolve;
    });
  }

  open(): void {
    this.#opened = undefined;
    this.#open();
  }

  /** Resolves at once while the gate is open, else when it opens. */
  async passed(): Promise<void> {
    while (this.#opened) await this.#opened;
  }
}

/** A clock whose sleepers wake only when the gate is open; time itself goes on. */
export class GatedClock extends Clock {
  constructor(
    private readonly clock: Clock,
    private readonly gate: Gate,
  ) {
    super();
  }

  now(): number {
    return this.clock.now();
  }

  async sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleepUntil(deadline, signal);
    await this.gate.passed();
  }
}

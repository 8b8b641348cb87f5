/** Simulates a paused process: while its gate is shut, no message or timer reaches or leaves it. */
import { Clock } from '../runtime/clock.js';

export class Gate {
  #opened: Promise<void> | undefined;

  #resolveOpened = () => {};

  get isShut(): boolean {
    return this.#opened !== undefined;
  }

  shut(): void {
    this.#opened ??= new Promise((resolve) => {
      this.#resolveOpened = resolve;
    });
  }

  open(): void {
    this.#opened = undefined;
    this.#resolveOpened();
  }

  /** Resolves as soon as the gate is open. */
  async waitUntilOpen(): Promise<void> {
    while (this.#opened) await this.#opened;
  }
}

/** A clock whose sleeps end only while the gate is open; `now` keeps advancing. */
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
    await this.gate.waitUntilOpen();
  }
}

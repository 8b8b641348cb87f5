/** Bounds the work that one upstream instance gets at a time. */
import PQueue from 'p-queue';
import { OutcomeError } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';

/** How long a refused caller is told to wait, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

export class Limit {
  readonly #queue: PQueue;

  constructor(
    private readonly clock: Clock,
    slots: number,
    private readonly maxWaiting: number,
  ) {
    this.#queue = new PQueue({ concurrency: slots });
  }

  get inFlight(): number {
    return this.#queue.pending;
  }

  get waiting(): number {
    return this.#queue.size;
  }

  set slots(slots: number) {
    this.#queue.concurrency = slots;
  }

  /** Runs `work` when a slot is free; refuses with `not-run` when it could not start in time. */
  async run<T>(priority: number, deadline: number, work: () => Promise<T>): Promise<T> {
    if (this.#queue.size >= this.maxWaiting) throw this.#refusal('overloaded', 'the queue is full');
    return this.#queue.add(
      () => {
        if (this.clock.now() >= deadline)
          throw this.#refusal('deadline', 'no time was left to run');
        return work();
      },
      { priority },
    );
  }

  #refusal(reason: string, message: string): OutcomeError {
    const retryAt = this.clock.now() + RETRY_AFTER_MS;
    return new OutcomeError(message, { verdict: 'not-run', reason, retryAt });
  }
}

import { OutcomeError, type Verdict } from '../../contracts.js';
import {
  type Changes,
  type Listing,
  Platform,
  type KeyRange,
  type Stored,
} from '../../platform/platform.js';
import { type Clock } from '../../runtime/clock.js';

/**
 * Behaviour of one call:
 *
 * - `ok`: it is answered.
 * - `refused`: it fails with `not-run`, without an effect.
 * - `lost`: it takes effect, but its answer is lost.
 * - `dropped`: it gets no answer and has no effect.
 * - `late`: it gets no answer and takes effect after `LATE_MS`.
 */
export type Behaviour = 'ok' | 'refused' | 'lost' | 'dropped' | 'late';

export interface Step {
  readonly behaviour: Behaviour;
  readonly delayMs: number;
}

const LATE_MS = 3_000;

/** A platform with faults, as seen by one process: each call follows the next of `steps`. */
export class UnsteadyPlatform extends Platform {
  /** Delays and behaviours of the next calls; calls after them are answered at once. */
  steps: Step[] = [];

  constructor(
    private readonly platform: Platform,
    private readonly clock: Clock,
  ) {
    super();
  }

  get(key: string, deadline: number): Promise<Stored | undefined> {
    return this.#call(() => this.platform.get(key, deadline));
  }

  list(range: KeyRange, deadline: number): Promise<Stored[]> {
    return this.#call(() => this.platform.list(range, deadline));
  }

  create(key: string, value: string, deadline: number): Promise<Stored | undefined> {
    return this.#call(() => this.platform.create(key, value, deadline));
  }

  update(key: string, value: string, revision: number, deadline: number) {
    return this.#call(() => this.platform.update(key, value, revision, deadline));
  }

  updateStatus(key: string, status: string, revision: number, deadline: number) {
    return this.#call(() => this.platform.updateStatus(key, status, revision, deadline));
  }

  remove(key: string, revision: number, deadline: number): Promise<boolean> {
    return this.#call(() => this.platform.remove(key, revision, deadline));
  }

  listKind(kind: string, deadline: number): Promise<Listing> {
    return this.#call(() => this.platform.listKind(kind, deadline));
  }

  waitForChanges(
    kind: string,
    asOf: number,
    deadline: number,
    signal?: AbortSignal,
  ): Promise<Changes> {
    return this.#call(() => this.platform.waitForChanges(kind, asOf, deadline, signal));
  }

  watch(range: KeyRange, deadline: number, signal?: AbortSignal): Promise<Stored[]> {
    return this.#call(() => this.platform.watch(range, deadline, signal));
  }

  async #call<T>(run: () => Promise<T>): Promise<T> {
    const { behaviour, delayMs } = this.steps.shift() ?? { behaviour: 'ok', delayMs: 0 };
    if (delayMs > 0) await this.clock.sleepUntil(this.clock.now() + delayMs);
    if (behaviour === 'refused') throw failure('not-run');
    if (behaviour === 'ok') return run();
    if (behaviour === 'lost') await run();
    if (behaviour === 'late') void this.#later(run);
    throw failure('may-have-run');
  }

  async #later(run: () => Promise<unknown>): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + LATE_MS);
    await run();
  }
}

function failure(verdict: Verdict): OutcomeError {
  return new OutcomeError('no answer', { verdict, reason: 'fault' });
}

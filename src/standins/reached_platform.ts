/** The platform as one process reaches it: it can be cut off from it, or paused in mid-call. */
import { OutcomeError } from '../contracts.js';
import {
  type Changes,
  type Listing,
  Platform,
  type KeyRange,
  type Stored,
} from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { type Gate } from './gate.js';

export class ReachedPlatform extends Platform {
  constructor(
    private readonly platform: Platform,
    private readonly clock: Clock,
    private readonly gate: Gate,
    private readonly isCut: () => boolean,
  ) {
    super();
  }

  get(key: string, deadline: number): Promise<Stored | undefined> {
    return this.#call(deadline, () => this.platform.get(key, deadline));
  }

  list(range: KeyRange, deadline: number): Promise<Stored[]> {
    return this.#call(deadline, () => this.platform.list(range, deadline));
  }

  create(key: string, value: string, deadline: number): Promise<Stored | undefined> {
    return this.#call(deadline, () => this.platform.create(key, value, deadline));
  }

  update(
    key: string,
    value: string,
    revision: number,
    deadline: number,
  ): Promise<Stored | undefined> {
    return this.#call(deadline, () => this.platform.update(key, value, revision, deadline));
  }

  updateStatus(
    key: string,
    status: string,
    revision: number,
    deadline: number,
  ): Promise<Stored | undefined> {
    return this.#call(deadline, () => this.platform.updateStatus(key, status, revision, deadline));
  }

  remove(key: string, revision: number, deadline: number): Promise<boolean> {
    return this.#call(deadline, () => this.platform.remove(key, revision, deadline));
  }

  listKind(kind: string, deadline: number): Promise<Listing> {
    return this.#call(deadline, () => this.platform.listKind(kind, deadline));
  }

  waitForChanges(
    kind: string,
    asOf: number,
    deadline: number,
    signal?: AbortSignal,
  ): Promise<Changes> {
    return this.#call(deadline, () => this.platform.waitForChanges(kind, asOf, deadline, signal));
  }

  watch(range: KeyRange, deadline: number, signal?: AbortSignal): Promise<Stored[]> {
    return this.#call(deadline, () => this.platform.watch(range, deadline, signal));
  }

  /** An answer that meets a cut is lost: the caller waits in vain until its deadline. */
  async #call<T>(deadline: number, run: () => Promise<T>): Promise<T> {
    await this.gate.passed();
    if (this.isCut()) {
      throw new OutcomeError('platform out of reach', { verdict: 'not-run', reason: 'cut' });
    }
    const answer = await run();
    await this.gate.passed();
    if (!this.isCut()) return answer;
    await this.clock.sleepUntil(deadline);
    throw new OutcomeError('answer lost', { verdict: 'may-have-run', reason: 'timeout' });
  }
}

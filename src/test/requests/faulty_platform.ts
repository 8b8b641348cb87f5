import { OutcomeError } from '../../contracts.js';
import {
  type Changes,
  type Listing,
  Platform,
  type KeyRange,
  type Stored,
} from '../../platform/platform.js';
import { type Clock } from '../../runtime/clock.js';
import { type Random } from '../../runtime/random.js';
import { type PlatformStore } from '../../standins/platform_store.js';

/** Probabilities of faults for each write, from 0 to 1. */
export interface FaultRates {
  /** Neither the write nor a response arrives. */
  readonly lost: number;
  /** The write takes effect, its response is lost. */
  readonly answerLost: number;
  /** The caller times out, and the write takes effect up to 3 s later. */
  readonly late: number;
}

const LATENCY_MS = 8;
const LATE_MS = 3_000;
const GIVE_UP_MS = 300;

/** One process's access to the store: loses and delays calls, and fails all of them after a crash. */
export class FaultyPlatform extends Platform {
  hasCrashed = false;

  constructor(
    private readonly store: PlatformStore,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly faultRates: FaultRates,
  ) {
    super();
  }

  async get(key: string, deadline: number): Promise<Stored | undefined> {
    await this.#delay();
    return this.store.get(key, deadline);
  }

  async list(range: KeyRange, deadline: number): Promise<Stored[]> {
    await this.#delay();
    return this.store.list(range, deadline);
  }

  create(key: string, value: string, deadline: number): Promise<Stored | undefined> {
    return this.#write(() => this.store.create(key, value, deadline + LATE_MS));
  }

  update(key: string, value: string, revision: number, deadline: number) {
    return this.#write(() => this.store.update(key, value, revision, deadline + LATE_MS));
  }

  updateStatus(key: string, status: string, revision: number, deadline: number) {
    return this.#write(() => this.store.updateStatus(key, status, revision, deadline + LATE_MS));
  }

  remove(key: string, revision: number, deadline: number): Promise<boolean> {
    return this.#write(() => this.store.remove(key, revision, deadline + LATE_MS));
  }

  listKind(kind: string, deadline: number): Promise<Listing> {
    return this.store.listKind(kind, deadline);
  }

  waitForChanges(
    kind: string,
    asOf: number,
    deadline: number,
    signal?: AbortSignal,
  ): Promise<Changes> {
    return this.store.waitForChanges(kind, asOf, deadline, signal);
  }

  watch(range: KeyRange, deadline: number, signal?: AbortSignal): Promise<Stored[]> {
    return this.store.watch(range, deadline, signal);
  }

  async #write<T>(write: () => Promise<T>): Promise<T> {
    await this.#delay();
    const { lost, answerLost, late } = this.faultRates;
    const drawn = this.random.next();
    if (drawn < lost) return this.#timeOut();
    if (drawn < lost + answerLost) {
      await write();
      return this.#timeOut();
    }
    if (drawn < lost + answerLost + late) {
      const effectAt = this.clock.now() + this.random.jitter(LATE_MS);
      void this.clock.sleepUntil(effectAt).then(() => write().catch(() => {}));
      return this.#timeOut();
    }
    const result = await write();
    await this.#delay();
    return result;
  }

  async #delay(): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + this.random.jitter(LATENCY_MS));
    if (this.hasCrashed) throw outcome('not-run');
  }

  async #timeOut(): Promise<never> {
    await this.clock.sleepUntil(this.clock.now() + GIVE_UP_MS);
    throw outcome('may-have-run');
  }
}

function outcome(verdict: 'not-run' | 'may-have-run'): OutcomeError {
  return new OutcomeError('no answer', { verdict, reason: 'timeout' });
}

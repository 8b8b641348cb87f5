/** In-memory stand-in for the platform's object API, with the faults of the real one. */
import { OutcomeError, type Verdict } from '../contracts.js';
import {
  type ObjectChange,
  type Changes,
  HISTORY_GONE,
  type Listing,
  MAX_VALUE_BYTES,
  Platform,
  type KeyRange,
  type Stored,
} from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { firstIndex } from '../runtime/search.js';

/** Faults of the stand-in. All can be set while it runs. */
export interface Faults {
  /** Every call fails without taking effect. */
  down: boolean;
  /** Extra latency of every call, in milliseconds. */
  slowMs: number;
  /** Calls beyond these rates are delayed, or fail if their deadline passes first. */
  readsPerSecond: number;
  writesPerSecond: number;
  /** Number of upcoming writes that take effect, but whose answer is lost. */
  loseAnswers: number;
}

/** Number of calls by kind; a watch counts once, however long it waits. */
export interface CallCounts {
  reads: number;
  writes: number;
  watches: number;
}

const MS_PER_SECOND = 1000;

/** Number of changes kept for watches; older ones are dropped. */
const MAX_HISTORY_LENGTH = 10_000;

interface Waiter {
  readonly prefix: string;
  readonly wake: () => void;
}

export class PlatformStore extends Platform {
  readonly faults: Faults = {
    down: false,
    slowMs: 0,
    readsPerSecond: Infinity,
    writesPerSecond: Infinity,
    loseAnswers: 0,
  };

  readonly calls: CallCounts = { reads: 0, writes: 0, watches: 0 };

  readonly #values = new Map<string, Stored>();

  #sortedKeys: string[] | undefined = [];

  readonly #waiters = new Set<Waiter>();

  #revision = 0;

  /** The most recent changes, oldest first. */
  #history: ObjectChange[] = [];

  /** Revision up to which the history has been dropped. */
  #droppedUpTo = 0;

  /** Earliest times of the next read and the next write under the rates, in ms since the epoch. */
  readonly #nextCallAt = { read: 0, write: 0 };

  constructor(private readonly clock: Clock) {
    super();
  }

  async get(key: string, deadline: number): Promise<Stored | undefined> {
    this.calls.reads += 1;
    await this.#applyFaults('read', deadline);
    return this.#values.get(key);
  }

  async list(range: KeyRange, deadline: number): Promise<Stored[]> {
    this.calls.reads += 1;
    await this.#applyFaults('read', deadline);
    return this.#select(range);
  }

  async create(key: string, value: string, deadline: number): Promise<Stored | undefined> {
    this.calls.writes += 1;
    await this.#applyFaults('write', deadline);
    const stored = this.#values.has(key) ? undefined : this.#put(key, value);
    return this.#maybeLoseAnswer(stored);
  }

  async update(
    key: string,
    value: string,
    revision: number,
    deadline: number,
  ): Promise<Stored | undefined> {
    this.calls.writes += 1;
    await this.#applyFaults('write', deadline);
    const current = this.#values.get(key)?.revision === revision;
    return this.#maybeLoseAnswer(current ? this.#put(key, value) : undefined);
  }

  async updateStatus(
    key: string,
    status: string,
    revision: number,
    deadline: number,
  ): Promise<Stored | undefined> {
    this.calls.writes += 1;
    await this.#applyFaults('write', deadline);
    const held = this.#values.get(key);
    const current = held?.revision === revision;
    return this.#maybeLoseAnswer(current ? this.#put(key, held.value, status) : undefined);
  }

  async remove(key: string, revision: number, deadline: number): Promise<boolean> {
    this.calls.writes += 1;
    await this.#applyFaults('write', deadline);
    const current = this.#values.get(key)?.revision === revision;
    if (current) this.#delete(key);
    return this.#maybeLoseAnswer(current);
  }

  async listKind(kind: string, deadline: number): Promise<Listing> {
    this.calls.reads += 1;
    await this.#applyFaults('read', deadline);
    return { objects: this.#select({ prefix: `${kind}/` }), asOf: this.#revision };
  }

  async waitForChanges(
    kind: string,
    asOf: number,
    deadline: number,
    signal?: AbortSignal,
  ): Promise<Changes> {
    this.calls.watches += 1;
    await this.#applyFaults('read', deadline);
    const prefix = `${kind}/`;
    for (;;) {
      if (asOf < this.#droppedUpTo) throw historyGone();
      const changes = this.#history.filter(
        ({ object }) => object.revision > asOf && object.key.startsWith(prefix),
      );
      const isOver = this.clock.now() >= deadline || signal?.aborted;
      if (changes.length > 0 || isOver) return { changes, asOf: this.#revision };
      await this.#waitForChange(prefix, deadline, signal);
      if (this.faults.down) throw unavailable();
    }
  }

  /** Drops all history, as the platform does from time to time. */
  compact(): void {
    this.#history = [];
    this.#droppedUpTo = this.#revision;
    this.wakeWatches();
  }

  async watch(range: KeyRange, deadline: number, signal?: AbortSignal): Promise<Stored[]> {
    this.calls.watches += 1;
    await this.#applyFaults('read', deadline);
    while (this.clock.now() < deadline && !signal?.aborted) {
      const found = this.#select(range);
      if (found.length > 0) return found;
      await this.#waitForChange(range.prefix, deadline, signal);
      if (this.faults.down) throw unavailable();
    }
    return [];
  }

  /** Wakes all waiting watches, so that those started before an outage notice it. */
  wakeWatches(): void {
    for (const waiter of [...this.#waiters]) waiter.wake();
  }

  async #waitForChange(prefix: string, deadline: number, signal?: AbortSignal): Promise<void> {
    const woken = new AbortController();
    const waiter: Waiter = { prefix, wake: () => woken.abort() };
    this.#waiters.add(waiter);
    const either = signal ? AbortSignal.any([signal, woken.signal]) : woken.signal;
    await this.clock.sleepUntil(deadline, either);
    this.#waiters.delete(waiter);
  }

  async #applyFaults(kind: 'read' | 'write', deadline: number): Promise<void> {
    const { slowMs } = this.faults;
    const until = Math.min(this.#reserveTurn(kind) + slowMs, deadline);
    const isLate = until > this.clock.now();
    if (isLate) await this.clock.sleepUntil(until);
    if (this.faults.down) throw unavailable();
    if (isLate && until >= deadline) throw timedOut('not-run');
  }

  /** Reserves and returns the time at which the rate admits the next call of a kind. */
  #reserveTurn(kind: 'read' | 'write'): number {
    const { readsPerSecond, writesPerSecond } = this.faults;
    const rate = kind === 'read' ? readsPerSecond : writesPerSecond;
    const turn = Math.max(this.clock.now(), this.#nextCallAt[kind]);
    this.#nextCallAt[kind] = turn + MS_PER_SECOND / rate;
    return turn;
  }

  #maybeLoseAnswer<T>(result: T): T {
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      throw timedOut('may-have-run');
    }
    return result;
  }

  #put(key: string, value: string, status = this.#values.get(key)?.status): Stored {
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      throw new OutcomeError(`value of ${key} is larger than ${MAX_VALUE_BYTES} bytes`, {
        verdict: 'not-run',
        reason: 'too-large',
      });
    }
    this.#revision += 1;
    const created = this.#values.get(key)?.created ?? this.#revision;
    const stored = {
      key,
      value,
      revision: this.#revision,
      created,
      ...(status !== undefined && { status }),
    };
    if (!this.#values.has(key)) this.#sortedKeys = undefined;
    this.#values.set(key, stored);
    this.#recordChange({ object: stored, isDeleted: false });
    return stored;
  }

  #delete(key: string): void {
    this.#revision += 1;
    const object = { ...this.#values.get(key)!, revision: this.#revision };
    this.#values.delete(key);
    this.#sortedKeys = undefined;
    this.#recordChange({ object, isDeleted: true });
  }

  #recordChange(changed: ObjectChange): void {
    this.#history.push(changed);
    if (this.#history.length > MAX_HISTORY_LENGTH)
      this.#droppedUpTo = this.#history.shift()!.object.revision;
    for (const waiter of [...this.#waiters]) {
      if (changed.object.key.startsWith(waiter.prefix)) waiter.wake();
    }
  }

  #select(range: KeyRange): Stored[] {
    this.#sortedKeys ??= [...this.#values.keys()].sort();
    const { prefix, after, limit = Infinity } = range;
    const found: Stored[] = [];
    const keys = this.#sortedKeys;
    const last = after !== undefined && after >= prefix ? after : '';
    const from = firstIndex(keys.length, (index) => keys[index]! > last);
    for (let index = from; index < this.#sortedKeys.length && found.length < limit; index++) {
      const key = this.#sortedKeys[index]!;
      if (key.startsWith(prefix)) found.push(this.#values.get(key)!);
      else if (key > prefix) break;
    }
    return found;
  }
}

function unavailable(): OutcomeError {
  return new OutcomeError('platform unavailable', { verdict: 'not-run', reason: 'unavailable' });
}

function historyGone(): OutcomeError {
  const props = { verdict: 'not-run', reason: HISTORY_GONE } as const;
  return new OutcomeError('changes since that revision are no longer kept', props);
}

function timedOut(verdict: Verdict): OutcomeError {
  return new OutcomeError('no answer from the platform', {
    verdict,
    reason: 'timeout',
  });
}

/** Stand-in for the platform's object API, in memory, with the faults the real one has. */
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

/** How the stand-in misbehaves. All can be set while it runs. */
export interface Faults {
  /** Every call fails and nothing takes effect. */
  down: boolean;
  /** Every call takes this much longer, in milliseconds. */
  slowMs: number;
  /** Calls beyond these rates wait for their turn, or fail when their deadline comes first. */
  readsPerSecond: number;
  writesPerSecond: number;
  /** So many of the next writes take effect and then lose their answer. */
  loseAnswers: number;
}

/** How often each kind of call was made; a waiting watch counts as one. */
export interface Calls {
  reads: number;
  writes: number;
  watches: number;
}

const MS_PER_SECOND = 1000;

/** Changes that can be followed; older ones are dropped. */
const HISTORY = 10_000;

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

  readonly calls: Calls = { reads: 0, writes: 0, watches: 0 };

  readonly #values = new Map<string, Stored>();

  #sortedKeys: string[] | undefined = [];

  readonly #waiters = new Set<Waiter>();

  #revision = 0;

  /** What was changed last, oldest first. */
  #history: ObjectChange[] = [];

  /** Revision up to which the history has been dropped. */
  #droppedTo = 0;

  /** Instants at which the next read and the next write have their turn. */
  readonly #turns = { read: 0, write: 0 };

  constructor(private readonly clock: Clock) {
    super();
  }

  async get(key: string, deadline: number): Promise<Stored | undefined> {
    this.calls.reads += 1;
    await this.#admit('read', deadline);
    return this.#values.get(key);
  }

  async list(range: KeyRange, deadline: number): Promise<Stored[]> {
    this.calls.reads += 1;
    await this.#admit('read', deadline);
    return this.#match(range);
  }

  async create(key: string, value: string, deadline: number): Promise<Stored | undefined> {
    this.calls.writes += 1;
    await this.#admit('write', deadline);
    const stored = this.#values.has(key) ? undefined : this.#put(key, value);
    return this.#answer(stored);
  }

  async update(
    key: string,
    value: string,
    revision: number,
    deadline: number,
  ): Promise<Stored | undefined> {
    this.calls.writes += 1;
    await this.#admit('write', deadline);
    const current = this.#values.get(key)?.revision === revision;
    return this.#answer(current ? this.#put(key, value) : undefined);
  }

  async updateStatus(
    key: string,
    status: string,
    revision: number,
    deadline: number,
  ): Promise<Stored | undefined> {
    this.calls.writes += 1;
    await this.#admit('write', deadline);
    const held = this.#values.get(key);
    const current = held?.revision === revision;
    return this.#answer(current ? this.#put(key, held.value, status) : undefined);
  }

  async remove(key: string, revision: number, deadline: number): Promise<boolean> {
    this.calls.writes += 1;
    await this.#admit('write', deadline);
    const current = this.#values.get(key)?.revision === revision;
    if (current) this.#delete(key);
    return this.#answer(current);
  }

  async listKind(kind: string, deadline: number): Promise<Listing> {
    this.calls.reads += 1;
    await this.#admit('read', deadline);
    return { objects: this.#match({ prefix: `${kind}/` }), asOf: this.#revision };
  }

  async waitForChanges(
    kind: string,
    asOf: number,
    deadline: number,
    signal?: AbortSignal,
  ): Promise<Changes> {
    this.calls.watches += 1;
    await this.#admit('read', deadline);
    const prefix = `${kind}/`;
    for (;;) {
      if (asOf < this.#droppedTo) throw historyGone();
      const changes = this.#history.filter(
        ({ object }) => object.revision > asOf && object.key.startsWith(prefix),
      );
      const isOver = this.clock.now() >= deadline || signal?.aborted;
      if (changes.length > 0 || isOver) return { changes, asOf: this.#revision };
      await this.#change(prefix, deadline, signal);
      if (this.faults.down) throw unavailable();
    }
  }

  /** Drops all history, as the platform does now and then. */
  compact(): void {
    this.#history = [];
    this.#droppedTo = this.#revision;
    this.disturb();
  }

  async watch(range: KeyRange, deadline: number, signal?: AbortSignal): Promise<Stored[]> {
    this.calls.watches += 1;
    await this.#admit('read', deadline);
    while (this.clock.now() < deadline && !signal?.aborted) {
      const found = this.#match(range);
      if (found.length > 0) return found;
      await this.#change(range.prefix, deadline, signal);
      if (this.faults.down) throw unavailable();
    }
    return [];
  }

  /** Wakes waiting watches, so that those begun before an outage see it. */
  disturb(): void {
    for (const waiter of [...this.#waiters]) waiter.wake();
  }

  async #change(prefix: string, deadline: number, signal?: AbortSignal): Promise<void> {
    const woken = new AbortController();
    const waiter: Waiter = { prefix, wake: () => woken.abort() };
    this.#waiters.add(waiter);
    const either = signal ? AbortSignal.any([signal, woken.signal]) : woken.signal;
    await this.clock.sleepUntil(deadline, either);
    this.#waiters.delete(waiter);
  }

  async #admit(kind: 'read' | 'write', deadline: number): Promise<void> {
    const { slowMs } = this.faults;
    const until = Math.min(this.#turn(kind) + slowMs, deadline);
    const isLate = until > this.clock.now();
    if (isLate) await this.clock.sleepUntil(until);
    if (this.faults.down) throw unavailable();
    if (isLate && until >= deadline) throw timedOut('not-run');
  }

  /** The instant at which a call of that kind has its turn under the rate. */
  #turn(kind: 'read' | 'write'): number {
    const { readsPerSecond, writesPerSecond } = this.faults;
    const rate = kind === 'read' ? readsPerSecond : writesPerSecond;
    const turn = Math.max(this.clock.now(), this.#turns[kind]);
    this.#turns[kind] = turn + MS_PER_SECOND / rate;
    return turn;
  }

  #answer<T>(result: T): T {
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      throw timedOut('may-have-run');
    }
    return result;
  }

  #put(key: string, value: string, status = this.#values.get(key)?.status): Stored {
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      throw new OutcomeError(`value of ${key} is over ${MAX_VALUE_BYTES} bytes`, {
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
    this.#remember({ object: stored, isDeleted: false });
    return stored;
  }

  #delete(key: string): void {
    this.#revision += 1;
    const object = { ...this.#values.get(key)!, revision: this.#revision };
    this.#values.delete(key);
    this.#sortedKeys = undefined;
    this.#remember({ object, isDeleted: true });
  }

  #remember(changed: ObjectChange): void {
    this.#history.push(changed);
    if (this.#history.length > HISTORY) this.#droppedTo = this.#history.shift()!.object.revision;
    for (const waiter of [...this.#waiters]) {
      if (changed.object.key.startsWith(waiter.prefix)) waiter.wake();
    }
  }

  #match(range: KeyRange): Stored[] {
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
  return new OutcomeError('that history is gone', props);
}

function timedOut(verdict: Verdict): OutcomeError {
  return new OutcomeError('no answer from the platform', {
    verdict,
    reason: 'timeout',
  });
}

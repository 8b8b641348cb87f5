/** A process's connection to the platform, which can be cut, or paused in the middle of a call. */
import { OutcomeError } from '../contracts.js';
import {
  type Changes,
  type Listing,
  Platform,
  type KeyRange,
  type Stored,
} from '../platform/platform.js';
import { IDLE_CONNECTION_MS } from '../platform/store_connection.js';
import { type Clock } from '../runtime/clock.js';
import { type Gate } from './gate.js';

export class InterruptiblePlatform extends Platform {
  /** Calls made, whether or not they reached the platform. */
  calls = 0;

  /** Number of times that the open connections went silent. */
  #silences = 0;

  /** When the last call ended, in milliseconds since the epoch. */
  #idleSince = 0;

  /** Until when a call is sent on a connection that was idle when it went silent. */
  #idleSilentUntil = 0;

  constructor(
    private readonly platform: Platform,
    private readonly clock: Clock,
    private readonly gate: Gate,
    private readonly isCut: () => boolean,
    /** Whether a cut is noticed only when the deadline of a call passes. */
    private readonly isSilent: () => boolean = () => false,
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

  /** The open connections carry nothing any more, without an end; later connections work. */
  silenceConnections(): void {
    this.#silences += 1;
    this.#idleSilentUntil = this.#idleSince + IDLE_CONNECTION_MS;
  }

  /** If the connection is cut before the answer, the call takes effect but times out at its deadline. */
  async #call<T>(deadline: number, call: () => Promise<T>): Promise<T> {
    this.calls += 1;
    const isSilent = this.clock.now() < this.#idleSilentUntil;
    const silencesBefore = isSilent ? this.#silences - 1 : this.#silences;
    this.#idleSilentUntil = 0;
    await this.gate.waitUntilOpen();
    if (this.isCut()) {
      if (this.isSilent()) await this.clock.sleepUntil(deadline);
      throw new OutcomeError('platform unreachable: the connection is cut', {
        verdict: 'not-run',
        reason: 'cut',
      });
    }
    const answer = await call();
    this.#idleSince = this.clock.now();
    await this.gate.waitUntilOpen();
    if (!this.isCut() && this.#silences === silencesBefore) return answer;
    await this.clock.sleepUntil(deadline);
    throw new OutcomeError('the answer of the platform was lost', {
      verdict: 'may-have-run',
      reason: 'timeout',
    });
  }
}

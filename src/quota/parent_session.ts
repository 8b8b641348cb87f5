/** The contact of a process with its parent, from which shares and tokens come. */

/** How long a delegated share binds this process after an answer, in milliseconds. */
const LOCAL_PROMISE_MS = 3_000;
/** To the leader it is shorter, so that a data centre that is cut off soon serves on its own. */
const REMOTE_PROMISE_MS = 1_200;
/** A session without an answer for this long ends, in milliseconds. */
const SILENCE_MS = 5_000;
/** An answer is not confirmed if its promise would end sooner than this, in milliseconds. */
const MIN_PROMISE_MS = 200;

export class ParentSession {
  /** Number of the last report. */
  number = 0;

  /** Number of the last report whose answer is confirmed to the parent. */
  heard = 0;

  /** How long after that answer the parent may use what the report delegated, in milliseconds. */
  heardTtlMs = 0;

  /** Share of the start credit passed on in this session. */
  credit = 0;

  /** Until when leases and tokens of the parent are valid. */
  until = 0;

  /** When what the last report delegates ends at the children that it came from. */
  delegableUntil = Number.POSITIVE_INFINITY;

  /** Teams that the last report delegated by name. */
  delegated: readonly number[] = [];

  /** Teams that the last report listed. */
  listed: readonly number[] = [];

  #answeredNumber = 0;

  #answeredAt: number;

  constructor(
    /** Instance and run of the parent. */
    readonly parent: string,
    readonly isRemote: boolean,
    readonly id: number,
    now: number,
  ) {
    this.#answeredAt = now;
  }

  isOver(now: number): boolean {
    return now - this.#answeredAt > SILENCE_MS;
  }

  isInContact(now: number): boolean {
    return now < this.until;
  }

  /** Whether the answer is the first one to the last report. */
  expects(number: number): boolean {
    return number === this.number && number !== this.#answeredNumber;
  }

  /**
   * Notes an answer. Returns the instant until which this process must leave unused what the report
   * delegated; undefined if the answer is not confirmed, and nothing is promised.
   */
  answered(ttlMs: number, sentAt: number, now: number): number | undefined {
    this.#answeredNumber = this.number;
    this.#answeredAt = now;
    this.until = sentAt + ttlMs;
    const promiseMs = this.isRemote ? REMOTE_PROMISE_MS : LOCAL_PROMISE_MS;
    const ttl = Math.floor(Math.min(promiseMs, this.delegableUntil - now));
    if (ttl < MIN_PROMISE_MS) return undefined;
    this.heard = this.number;
    this.heardTtlMs = ttl;
    return now + ttl;
  }

  /** Forgets the contact, after time has passed that the clock did not count. */
  discard(): void {
    this.until = 0;
    this.heard = 0;
  }
}

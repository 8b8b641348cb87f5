/** What one machine's network link carries away, and whether a heavy answer would leave in time. */
import { notRun } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';

/** Answers up to this size are light: they leave at once and are never refused for the link. */
export const LIGHT_BYTES = 16_000;
/** What the heads of a request and its answer, and the acknowledgement, weigh at one hop. */
const HEADS_BYTES = 1_000;
/** Largest part of a heavy answer that is let go at a time: a light answer waits behind one. */
export const PIECE_BYTES = 16_384;
/** Part of the link that may be filled; heads of packets and heartbeats take the rest. */
const FILLED_SHARE = 0.93;
/** So far ahead of the link the next piece is let go, so that it never stands idle, in milliseconds. */
const AHEAD_MS = 25;
/**
 * How much longer than expected an answer may take and still be in time. Answers vary in size, and
 * the way to the caller is not in the reckoning: with a line up to the very target all are late. A
 * shorter line carries as much.
 */
const HEADROOM = 1.5;
/**
 * Backlog from which those who can be in time compete for the link, in milliseconds. For a while
 * after that no answer that will be late is begun: it would take the place of one in time.
 */
const CONTESTED_BACKLOG_MS = 250;
const CONTESTED_MS = 1_000;
/** The least that a refused caller is told to wait, in milliseconds. */
const MIN_RETRY_MS = 100;
const BITS_PER_BYTE = 8;
const KBIT = 1_000;
const MS_PER_SECOND = 1_000;

/** What is known of a heavy answer before its request is run. */
export interface Heavy {
  /** What answers of its route usually weigh. */
  readonly bytes: number;
  /** How long the upstream instance usually takes for it, in milliseconds. */
  readonly heldMs: number;
  /** Instant until which an answer is of full use, in milliseconds since the epoch. */
  readonly targetAt: number;
  /** In milliseconds since the epoch. */
  readonly deadline: number;
}

/**
 * Slots say nothing of bytes: with slots free, downloads beyond what the link carries pile up in
 * the queue of the machine, and every short answer stands behind them. So a heavy answer is
 * promised its place on the link before its request runs, and leaves in pieces, the first promised
 * first; light answers never wait for more than the pieces let go. Heartbeats pass in the same way.
 *
 * @example
 * ```ts
 * using departure = uplink.admit(heavy); // throws the refusal if it would leave too late
 * await departure.turn(piece.length);
 * response.write(piece);
 * ```
 */
export class Uplink {
  /** Bytes a millisecond; unknown, and so unbounded, when absent. */
  readonly #rate: number | undefined;

  /** When all that was let go has left, in milliseconds since the epoch. */
  #freeAt = 0;

  /** Bytes of heavy answers that are promised and not let go yet. */
  #promised = 0;

  /** Until when nothing that will be late is begun, in milliseconds since the epoch. */
  #contestedUntil = 0;

  /** Those that wait for a turn, the first promised first. */
  readonly #waiting: Turn[] = [];

  #departures = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly clock: Clock,
    kbps?: number,
  ) {
    this.#rate =
      kbps === undefined
        ? undefined
        : ((kbps * KBIT) / BITS_PER_BYTE / MS_PER_SECOND) * FILLED_SHARE;
  }

  /** Time until all that is promised has left, in milliseconds. */
  get backlogMs(): number {
    if (this.#rate === undefined) return 0;
    return Math.max(0, this.#freeAt - this.clock.now()) + this.#promised / this.#rate;
  }

  /** Promises a place to the answer of a request that is about to run; throws the refusal. */
  admit({ bytes, heldMs, targetAt, deadline }: Heavy): Departure {
    if (this.#rate === undefined) return this.depart(bytes);
    const now = this.clock.now();
    const { backlogMs } = this;
    const leavesMs = Math.max(backlogMs, heldMs) + bytes / this.#rate;
    const leavesAt = now + leavesMs;
    const isLate = now + leavesMs * HEADROOM > targetAt;
    const isContested = now < this.#contestedUntil || backlogMs > CONTESTED_BACKLOG_MS;
    if (leavesAt > deadline || (isLate && isContested)) {
      const spareMs = Math.max(0, targetAt - now) / HEADROOM;
      const retryAt = now + Math.max(MIN_RETRY_MS, leavesMs - spareMs);
      throw notRun('overloaded', 'the uplink would not carry the answer in time', retryAt);
    }
    if (!isLate && backlogMs > CONTESTED_BACKLOG_MS) this.#contestedUntil = now + CONTESTED_MS;
    return this.depart(bytes);
  }

  /** A place for a heavy answer that has to leave in any case. */
  depart(bytes: number): Departure {
    this.#departures += 1;
    return new Departure(this, this.#departures, bytes);
  }

  /**
   * An answer whose head has come, with so many bytes behind it. A heavy one gets the place that
   * was promised to it, or one in any case; a light one leaves at once and needs none.
   */
  begin(bytes: number, promised?: Departure): Departure | undefined {
    if (bytes > LIGHT_BYTES) {
      promised?.resize(bytes);
      return promised ?? this.depart(bytes);
    }
    promised?.[Symbol.dispose]();
    this.passed(HEADS_BYTES + bytes);
    return undefined;
  }

  /** Notes that so many bytes leave at once, whatever waits. */
  passed(bytes: number): void {
    if (this.#rate !== undefined) this.#let(bytes);
  }

  /** @internal */
  promise(bytes: number): void {
    this.#promised += bytes;
  }

  /** @internal */
  wait(turn: Turn): void {
    if (this.#rate === undefined) {
      turn.go();
      return;
    }
    const index = this.#waiting.findIndex(({ order }) => order > turn.order);
    if (index < 0) this.#waiting.push(turn);
    else this.#waiting.splice(index, 0, turn);
    this.#next();
  }

  /** @internal */
  forget(order: number): void {
    const index = this.#waiting.findIndex((turn) => turn.order === order);
    if (index >= 0) this.#waiting.splice(index, 1);
  }

  #next(): void {
    if (this.#timer) return;
    const now = this.clock.now();
    for (let turn = this.#waiting.at(0); turn; turn = this.#waiting.at(0)) {
      const waitMs = this.#freeAt - now - AHEAD_MS;
      if (waitMs > 0) {
        this.#timer = setTimeout(() => this.#resume(), Math.ceil(waitMs));
        return;
      }
      this.#waiting.shift();
      this.#let(turn.bytes);
      turn.go();
    }
  }

  #resume(): void {
    this.#timer = undefined;
    this.#next();
  }

  #let(bytes: number): void {
    this.#freeAt = Math.max(this.clock.now(), this.#freeAt) + bytes / this.#rate!;
  }
}

interface Turn {
  /** Of its departure. */
  readonly order: number;
  readonly bytes: number;
  go(): void;
}

/** The place of one heavy answer on the link, until it has left or will not. */
export class Departure implements Disposable {
  /** Promised and not let go yet. */
  #left = 0;

  #isOver = false;

  constructor(
    private readonly uplink: Uplink,
    private readonly order: number,
    bytes: number,
  ) {
    this.resize(bytes);
  }

  /** Takes over how many bytes are still to come, once that is known. */
  resize(bytes: number): void {
    if (this.#isOver) return;
    this.uplink.promise(bytes - this.#left);
    this.#left = bytes;
  }

  /** Resolves when a piece of so many bytes may leave. One at a time. */
  turn(bytes: number): Promise<void> {
    return new Promise((resolve) => {
      const go = () => {
        this.resize(Math.max(0, this.#left - bytes));
        resolve();
      };
      if (this.#isOver) resolve();
      else this.uplink.wait({ order: this.order, bytes, go });
    });
  }

  [Symbol.dispose](): void {
    this.resize(0);
    this.#isOver = true;
    this.uplink.forget(this.order);
  }
}

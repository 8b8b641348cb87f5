/** Schedules the large answers on a machine's uplink, and refuses those that would leave too late. */
import { notRun } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';

/** Answers up to this size are sent at once, and are never refused because of the link. */
export const SMALL_ANSWER_BYTES = 16_000;
/** Bytes that the heads of a request and its answer, and the acknowledgement, add at one hop. */
const HEADERS_BYTES = 1_000;
/** Maximum part of a large answer that is sent at a time: a small answer may wait behind one. */
export const PIECE_BYTES = 16_384;
/** Share of the link rate that answers may use; packet headers and heartbeats take the rest. */
const USABLE_SHARE = 0.93;
/** How long before the link is idle the next piece is sent, to keep it busy, in milliseconds. */
const LOOKAHEAD_MS = 25;
/**
 * Factor on the expected time to send an answer when it is checked against its target. Answers vary
 * in size, and the way to the caller is not part of the estimate: with a backlog of the whole target
 * time all answers would be late. A shorter backlog has the same throughput.
 */
const HEADROOM = 1.5;
/**
 * Backlog from which answers that can meet their target compete for the link, in milliseconds. For
 * `CONTENTION_MS` after that, answers that will be late are refused: each would delay one that can
 * be in time.
 */
const CONTENTION_BACKLOG_MS = 250;
const CONTENTION_MS = 1_000;
/** Minimum retry delay told to a refused caller, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;
const BITS_PER_BYTE = 8;
const BITS_PER_KBIT = 1_000;
const MS_PER_SECOND = 1_000;

/** What is known of a large answer before its request is run. */
export interface LargeAnswer {
  /** Average size of the answers of its route. */
  readonly bytes: number;
  /** Average time that the upstream instance takes for it, in milliseconds. */
  readonly heldMs: number;
  /** Instant by which the answer should arrive, in milliseconds since the epoch. */
  readonly targetAt: number;
  /** In milliseconds since the epoch. */
  readonly deadline: number;
}

/**
 * Slots do not limit bytes: even with slots free, downloads that exceed the rate of the link pile up
 * in the send queue of the machine, and every small answer waits behind them. So a large answer
 * reserves its bytes on the link before its request runs, and is sent in pieces, in the order of the
 * reservations. Small answers and heartbeats wait only for pieces that were already sent.
 *
 * @example
 * ```ts
 * using reservation = uplink.admit(heavy); // throws the refusal if it would leave too late
 * await reservation.waitForTurn(piece.length);
 * response.write(piece);
 * ```
 */
export class Uplink {
  /** Bytes per millisecond; unknown, and therefore not limited, if undefined. */
  #rate: number | undefined;

  /** When the link has sent everything handed to it so far, in milliseconds since the epoch. */
  #freeAt = 0;

  /** Bytes of large answers that are reserved and not sent yet. */
  #reservedBytes = 0;

  /** Until when late answers are refused, in milliseconds since the epoch. */
  #contendedUntil = 0;

  /** Pieces that wait to be sent, in the order of their reservations. */
  readonly #waiting: WaitingPiece[] = [];

  #reservations = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly clock: Clock,
    kbps?: number,
  ) {
    this.#rate =
      kbps === undefined
        ? undefined
        : ((kbps * BITS_PER_KBIT) / BITS_PER_BYTE / MS_PER_SECOND) * USABLE_SHARE;
  }

  /** Time until the link has sent everything handed to it or reserved, in milliseconds. */
  get backlogMs(): number {
    if (this.#rate === undefined) return 0;
    return Math.max(0, this.#freeAt - this.clock.now()) + this.#reservedBytes / this.#rate;
  }

  /**
   * Reserves the link for the answer of a request that is about to run. Throws an `OutcomeError`
   * with the verdict `not-run` if the answer would be sent too late.
   */
  admit({ bytes, heldMs, targetAt, deadline }: LargeAnswer): Reservation {
    if (this.#rate === undefined) return this.reserve(bytes);
    const now = this.clock.now();
    const { backlogMs } = this;
    const leavesMs = Math.max(backlogMs, heldMs) + bytes / this.#rate;
    const leavesAt = now + leavesMs;
    const isLate = now + leavesMs * HEADROOM > targetAt;
    const isContended = now < this.#contendedUntil || backlogMs > CONTENTION_BACKLOG_MS;
    if (leavesAt > deadline || (isLate && isContended)) {
      const spareMs = Math.max(0, targetAt - now) / HEADROOM;
      const retryAt = now + Math.max(MIN_RETRY_AFTER_MS, leavesMs - spareMs);
      throw notRun('overloaded', 'the uplink would not send the answer in time', retryAt);
    }
    if (!isLate && backlogMs > CONTENTION_BACKLOG_MS) this.#contendedUntil = now + CONTENTION_MS;
    return this.reserve(bytes);
  }

  /** Reserves the link for a large answer that must be sent in any case. */
  reserve(bytes: number): Reservation {
    this.#reservations += 1;
    return new Reservation(this, this.#reservations, bytes);
  }

  /**
   * Schedules an answer whose head has arrived, with a body of `bytes`. A large one keeps its
   * reservation, or gets a new one in any case; a small one is sent at once, and its reservation is
   * released.
   */
  schedule(bytes: number, reservation?: Reservation): Reservation | undefined {
    if (bytes > SMALL_ANSWER_BYTES) {
      reservation?.resize(bytes);
      return reservation ?? this.reserve(bytes);
    }
    reservation?.[Symbol.dispose]();
    this.recordSent(HEADERS_BYTES + bytes);
    return undefined;
  }

  /** Records `bytes` that are sent at once, ahead of all waiting pieces. */
  recordSent(bytes: number): void {
    if (this.#rate !== undefined) this.#occupy(bytes);
  }

  /**
   * Starts all pieces that wait, and paces nothing from now on. Called shortly before the process ends:
   * what it has handed to the system by then is still sent, and the rest is lost.
   */
  release(): void {
    this.#rate = undefined;
    clearTimeout(this.#timer);
    for (const piece of this.#waiting.splice(0)) piece.start();
  }

  /** @internal */
  reserveBytes(bytes: number): void {
    this.#reservedBytes += bytes;
  }

  /** @internal */
  enqueue(piece: WaitingPiece): void {
    if (this.#rate === undefined) {
      piece.start();
      return;
    }
    const index = this.#waiting.findIndex(({ order }) => order > piece.order);
    if (index < 0) this.#waiting.push(piece);
    else this.#waiting.splice(index, 0, piece);
    this.#startPieces();
  }

  /** @internal */
  dequeue(order: number): void {
    const index = this.#waiting.findIndex((piece) => piece.order === order);
    if (index >= 0) this.#waiting.splice(index, 1);
  }

  #startPieces(): void {
    if (this.#timer) return;
    const now = this.clock.now();
    for (let piece = this.#waiting.at(0); piece; piece = this.#waiting.at(0)) {
      const waitMs = this.#freeAt - now - LOOKAHEAD_MS;
      if (waitMs > 0) {
        this.#timer = setTimeout(() => this.#resume(), Math.ceil(waitMs));
        return;
      }
      this.#waiting.shift();
      this.#occupy(piece.bytes);
      piece.start();
    }
  }

  #resume(): void {
    this.#timer = undefined;
    this.#startPieces();
  }

  #occupy(bytes: number): void {
    this.#freeAt = Math.max(this.clock.now(), this.#freeAt) + bytes / this.#rate!;
  }
}

interface WaitingPiece {
  /** Order of its reservation. */
  readonly order: number;
  readonly bytes: number;
  start(): void;
}

/** The bytes of one large answer that are reserved on the link, until it is sent or abandoned. */
export class Reservation implements Disposable {
  /** Reserved and not sent yet. */
  #remainingBytes = 0;

  #isReleased = false;

  constructor(
    private readonly uplink: Uplink,
    private readonly order: number,
    bytes: number,
  ) {
    this.resize(bytes);
  }

  /** Sets how many bytes are still to be sent, once that is known. */
  resize(bytes: number): void {
    if (this.#isReleased) return;
    this.uplink.reserveBytes(bytes - this.#remainingBytes);
    this.#remainingBytes = bytes;
  }

  /** Resolves when a piece of `bytes` may be sent. Only one call at a time is allowed. */
  waitForTurn(bytes: number): Promise<void> {
    return new Promise((resolve) => {
      const onStart = () => {
        this.resize(Math.max(0, this.#remainingBytes - bytes));
        resolve();
      };
      if (this.#isReleased) resolve();
      else this.uplink.enqueue({ order: this.order, bytes, start: onStart });
    });
  }

  [Symbol.dispose](): void {
    this.resize(0);
    this.#isReleased = true;
    this.uplink.dequeue(this.order);
  }
}

/** In-memory links with the faults of real network links. */
import { type Codec } from '../link/codec.js';
import { Link } from '../link/link.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Gate } from './gate.js';
import { type BandwidthLimiter } from './bandwidth_limiter.js';

/** Faults of messages, all settable while links are open. Probabilities are in [0, 1]. */
export interface LinkFaults {
  /** Probability that a message is lost. */
  lose: number;
  /** Probability that a message is delivered twice. */
  duplicate: number;
  /** Probability that later messages may overtake a message. */
  reorder: number;
  /** Latency of every message, in milliseconds. */
  latencyMs: number;
  /** Upper bound of the random delay added to the latency, in milliseconds. */
  delayMs: number;
}

export function noFaults(): LinkFaults {
  return { lose: 0, duplicate: 0, reorder: 0, latencyMs: 1, delayMs: 0 };
}

/** Settings that both ends of a link share. */
export interface LinkSettings {
  readonly clock: Clock;
  readonly random: Random;
  readonly codec: Codec;
  readonly faults: LinkFaults;
}

/** What affects the end of a link at one process: its pauses and its bandwidth. */
export interface HostConditions {
  readonly gate: Gate;
  readonly bandwidthLimiter?: BandwidthLimiter | undefined;
}

export interface LinkEnd extends HostConditions {
  /** Whether what this end sends is currently dropped, without either end being notified. */
  readonly isCut: () => boolean;
}

/** Length of the frame header that a real link sends before each message, in bytes. */
const HEADER_BYTES = 4;
/** Upper bound of the extra delay of a message that may be overtaken, in milliseconds. */
const MAX_REORDER_DELAY_MS = 50;

export class MemoryLink extends Link {
  bytesSent = 0;

  bytesReceived = 0;

  /** Whether the link drops everything from now on, like a connection that a middlebox has forgotten. */
  isSilent = false;

  readonly #closing = new AbortController();

  /** Messages that arrived before a receiver was set. */
  readonly #undelivered: unknown[] = [];

  #receiver: ((message: unknown) => void) | undefined;

  /** When the latest message that is kept in order arrives, in milliseconds since the epoch. */
  #lastArrivalAt = 0;

  #otherEnd!: MemoryLink;

  private constructor(
    private readonly settings: LinkSettings,
    private readonly end: LinkEnd,
  ) {
    super();
  }

  /** Creates the two ends of a link. */
  static pair(settings: LinkSettings, near: LinkEnd, far: LinkEnd): [MemoryLink, MemoryLink] {
    const one = new MemoryLink(settings, near);
    const other = new MemoryLink(settings, far);
    one.#otherEnd = other;
    other.#otherEnd = one;
    return [one, other];
  }

  get closed(): AbortSignal {
    return this.#closing.signal;
  }

  send(message: unknown): void {
    if (this.closed.aborted) return;
    const bytes = this.settings.codec.encode(message);
    this.bytesSent += HEADER_BYTES + bytes.length;
    const { random, faults } = this.settings;
    if (random.next() < faults.lose) return;
    void this.#transmit(bytes);
    if (random.next() < faults.duplicate) void this.#transmit(bytes);
  }

  receive(receiver: (message: unknown) => void): void {
    this.#receiver = receiver;
    for (const message of this.#undelivered.splice(0)) receiver(message);
  }

  close(): void {
    if (this.closed.aborted) return;
    this.#closing.abort();
    void this.#closeOtherEnd();
  }

  /** Drops all further messages in both directions, and the notice of a close as well. */
  silence(): void {
    this.isSilent = true;
    this.#otherEnd.isSilent = true;
  }

  async #transmit(bytes: Uint8Array): Promise<void> {
    await this.end.gate.waitUntilOpen();
    const { clock } = this.settings;
    const otherEnd = this.#otherEnd;
    await clock.sleepUntil(this.#arrivalTime(HEADER_BYTES + bytes.length));
    if (this.isSilent || this.end.isCut()) return;
    await otherEnd.end.gate.waitUntilOpen();
    if (otherEnd.closed.aborted) return;
    otherEnd.bytesReceived += HEADER_BYTES + bytes.length;
    otherEnd.#deliver(this.settings.codec.decode(bytes));
  }

  #arrivalTime(bytes: number): number {
    const { clock, random, faults } = this.settings;
    const now = clock.now();
    const leavesAt = this.end.bandwidthLimiter?.departure(bytes, now) ?? now;
    const earliest = leavesAt + faults.latencyMs + random.jitter(faults.delayMs);
    if (random.next() < faults.reorder) return earliest + random.jitter(MAX_REORDER_DELAY_MS);
    this.#lastArrivalAt = Math.max(this.#lastArrivalAt, earliest);
    return this.#lastArrivalAt;
  }

  #deliver(message: unknown): void {
    if (this.#receiver) this.#receiver(message);
    else this.#undelivered.push(message);
  }

  async #closeOtherEnd(): Promise<void> {
    const { clock, faults } = this.settings;
    await clock.sleepUntil(Math.max(this.#lastArrivalAt, clock.now() + faults.latencyMs));
    if (this.isSilent || this.end.isCut()) return;
    await this.#otherEnd.end.gate.waitUntilOpen();
    this.#otherEnd.close();
  }
}

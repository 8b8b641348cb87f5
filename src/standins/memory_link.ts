/** Links in memory, with the faults that real ones have. */
import { type Codec } from '../link/codec.js';
import { Link } from '../link/link.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Gate } from './gate.js';
import { type Lane } from './lane.js';

/** How messages fare, all settable while links are open. Chances are in [0, 1]. */
export interface LinkFaults {
  lose: number;
  duplicate: number;
  /** Chance of a message to be overtaken by later ones. */
  reorder: number;
  /** Time that every message takes, in milliseconds. */
  latencyMs: number;
  /** Cap of the jittered delay on top of it, in milliseconds. */
  delayMs: number;
}

export function noFaults(): LinkFaults {
  return { lose: 0, duplicate: 0, reorder: 0, latencyMs: 1, delayMs: 0 };
}

/** What both ends of a link share. */
export interface Wire {
  readonly clock: Clock;
  readonly random: Random;
  readonly codec: Codec;
  readonly faults: LinkFaults;
  /** Whether nothing passes for now, without either end being told. */
  readonly isCut: () => boolean;
}

/** Where one end of a link is. */
export interface Place {
  readonly gate: Gate;
  readonly lane?: Lane | undefined;
}

/** Length of the frame header that a real link writes before each message, in bytes. */
const HEADER_BYTES = 4;
/** How far an overtaken message falls back, in milliseconds. */
const OVERTAKEN_MS = 50;

export class MemoryLink extends Link {
  bytesSent = 0;

  bytesReceived = 0;

  /** Whether something between the two ends has lost track of them, for good. */
  isSilent = false;

  readonly #closing = new AbortController();

  readonly #early: unknown[] = [];

  #receiver: ((message: unknown) => void) | undefined;

  /** Instant at which the last message in order arrives. */
  #arrivesAt = 0;

  #far!: MemoryLink;

  private constructor(
    private readonly wire: Wire,
    private readonly gate: Gate,
    /** By which this end's machine sends; wide enough for anything when absent. */
    private readonly lane: Lane | undefined,
  ) {
    super();
  }

  /** The two ends of one link; each belongs to the process behind its gate. */
  static pair(wire: Wire, near: Place, far: Place): [MemoryLink, MemoryLink] {
    const ends: [MemoryLink, MemoryLink] = [
      new MemoryLink(wire, near.gate, near.lane),
      new MemoryLink(wire, far.gate, far.lane),
    ];
    const [one, other] = ends;
    one.#far = other;
    other.#far = one;
    return ends;
  }

  get closed(): AbortSignal {
    return this.#closing.signal;
  }

  send(message: unknown): void {
    if (this.closed.aborted) return;
    const bytes = this.wire.codec.encode(message);
    this.bytesSent += HEADER_BYTES + bytes.length;
    const { random, faults } = this.wire;
    if (random.next() < faults.lose) return;
    void this.#carry(bytes);
    if (random.next() < faults.duplicate) void this.#carry(bytes);
  }

  receive(receiver: (message: unknown) => void): void {
    this.#receiver = receiver;
    for (const message of this.#early.splice(0)) receiver(message);
  }

  close(): void {
    if (this.closed.aborted) return;
    this.#closing.abort();
    void this.#closeFar();
  }

  /** Loses track of both ends: neither hears of the other again, nor of its closing. */
  silence(): void {
    this.isSilent = true;
    this.#far.isSilent = true;
  }

  async #carry(bytes: Uint8Array): Promise<void> {
    await this.gate.passed();
    const { clock } = this.wire;
    const far = this.#far;
    await clock.sleepUntil(this.#arrival(HEADER_BYTES + bytes.length));
    if (this.isSilent || this.wire.isCut()) return;
    await far.gate.passed();
    if (far.closed.aborted) return;
    far.bytesReceived += HEADER_BYTES + bytes.length;
    far.#deliver(this.wire.codec.decode(bytes));
  }

  #arrival(bytes: number): number {
    const { clock, random, faults } = this.wire;
    const now = clock.now();
    const leaves = this.lane?.departure(bytes, now) ?? now;
    const earliest = leaves + faults.latencyMs + random.jitter(faults.delayMs);
    if (random.next() < faults.reorder) return earliest + random.jitter(OVERTAKEN_MS);
    this.#arrivesAt = Math.max(this.#arrivesAt, earliest);
    return this.#arrivesAt;
  }

  #deliver(message: unknown): void {
    if (this.#receiver) this.#receiver(message);
    else this.#early.push(message);
  }

  async #closeFar(): Promise<void> {
    const { clock, faults } = this.wire;
    await clock.sleepUntil(Math.max(this.#arrivesAt, clock.now() + faults.latencyMs));
    if (this.isSilent || this.wire.isCut()) return;
    await this.#far.gate.passed();
    this.#far.close();
  }
}

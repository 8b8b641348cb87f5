import { randomUUID } from 'node:crypto';

/** Source of random numbers, which tests replace by a seeded one. */
export abstract class Random {
  /** A number in [0, 1). */
  abstract next(): number;

  /** An identifier that is unique across processes. */
  abstract nonce(): string;

  /** An integer in [0, bound). */
  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** A copy of the items in random order. */
  shuffled<T>(items: readonly T[]): T[] {
    const shuffled = [...items];
    for (let end = shuffled.length; end > 1; end--) {
      const chosen = this.below(end);
      [shuffled[end - 1], shuffled[chosen]] = [shuffled[chosen]!, shuffled[end - 1]!];
    }
    return shuffled;
  }

  /** Full jitter: a delay in [0, capMs) ms, which spreads simultaneous attempts evenly. */
  jitter(capMs: number): number {
    return this.next() * capMs;
  }

  /** Full jitter in ms with a cap that doubles with each of `failures`, from `initialCapMs` to `maxCapMs`. */
  backoff(failures: number, initialCapMs: number, maxCapMs: number): number {
    return this.jitter(Math.min(maxCapMs, initialCapMs * 2 ** failures));
  }
}

/** The random number generators of Node.js. */
export class MachineRandom extends Random {
  next(): number {
    return Math.random();
  }

  nonce(): string {
    return randomUUID();
  }
}

/** A seeded generator (mulberry32): the same seed gives the same sequence. */
export class SeededRandom extends Random {
  #state: number;

  constructor(seed: number) {
    super();
    this.#state = seed >>> 0;
  }

  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let t = this.#state;
    t = Math.imul(t ^ (t >>> 15), t | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  }

  nonce(): string {
    const part = () => Math.floor(this.next() * 4294967296).toString(16);
    return `${part()}-${part()}`;
  }
}

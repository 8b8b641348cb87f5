import { randomUUID } from 'node:crypto';

/** Chance as the decisions see it. */
export abstract class Random {
  /** A number in [0, 1). */
  abstract next(): number;

  /** An identifier that no other process draws. */
  abstract nonce(): string;

  /** A whole number in [0, bound). */
  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** The items in random order. */
  shuffled<T>(items: readonly T[]): T[] {
    const shuffled = [...items];
    for (let end = shuffled.length; end > 1; end--) {
      const chosen = this.below(end);
      [shuffled[end - 1], shuffled[chosen]] = [shuffled[chosen]!, shuffled[end - 1]!];
    }
    return shuffled;
  }

  /** Full jitter: a delay in [0, cap) milliseconds, which spreads a herd evenly. */
  jitter(capMs: number): number {
    return this.next() * capMs;
  }
}

/** The machine's generator. */
export class MachineRandom extends Random {
  next(): number {
    return Math.random();
  }

  nonce(): string {
    return randomUUID();
  }
}

/** A seeded generator (mulberry32): the same seed gives the same run. */
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

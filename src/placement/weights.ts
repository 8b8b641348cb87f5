/** What the answers of a route usually weigh. */
import { SMALL_ANSWER_BYTES } from '../admission/uplink.js';

/** Weight of the newest answer in the moving average. */
const NEWEST_WEIGHT = 0.1;
/** Routes that are remembered; beyond that all are forgotten. */
const MAX_ROUTES = 2_000;
/** How much longer the own data centre may take for each kilobyte that stays there, in milliseconds. */
const AWAY_MS_PER_KB = 4;
const BYTES_PER_KB = 1_000;

/**
 * Bytes between data centres are dear, and kinds of request differ a hundredfold in them. Were all
 * sent away alike when the own data centre is short of slots, a few downloads would make up half of
 * what crosses; they wait for a slot nearby instead, and what weighs little goes.
 */
export class Weights {
  readonly #bytes = new Map<string, number>();

  learn(route: string, bytes: number): void {
    if (this.#bytes.size > MAX_ROUTES) this.#bytes.clear();
    const before = this.#bytes.get(route) ?? bytes;
    this.#bytes.set(route, before + (bytes - before) * NEWEST_WEIGHT);
  }

  /** Usual length of its answers if they are heavy, otherwise 0; 0 if none is known. */
  heavyBytes(route: string): number {
    const bytes = this.#bytes.get(route) ?? 0;
    return bytes > SMALL_ANSWER_BYTES ? bytes : 0;
  }

  /** How much sooner another data centre must be expected to answer, in milliseconds. */
  awayMs(route: string): number {
    const heavyBytes = Math.max(0, (this.#bytes.get(route) ?? 0) - SMALL_ANSWER_BYTES);
    return (heavyBytes / BYTES_PER_KB) * AWAY_MS_PER_KB;
  }
}

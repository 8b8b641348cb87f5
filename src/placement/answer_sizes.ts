/** Average answer sizes by route. */
import { SMALL_ANSWER_BYTES } from '../admission/uplink.js';

/** Weight of the newest answer in the moving average. */
const NEWEST_WEIGHT = 0.1;
/** Maximum number of routes; when exceeded, all are forgotten. */
const MAX_ROUTES = 2_000;
/** How much longer the local data centre may take per kilobyte of a large answer, in milliseconds. */
const REMOTE_MS_PER_KB = 4;
const BYTES_PER_KB = 1_000;

/**
 * Traffic between data centres is expensive, and answer sizes differ by a factor of a hundred
 * between routes. If all routes went to other data centres alike when local slots are short, a few
 * downloads would cause half of that traffic. So requests with large answers wait for a local slot,
 * and those with small answers go.
 */
export class AnswerSizes {
  readonly #bytes = new Map<string, number>();

  record(route: string, bytes: number): void {
    if (this.#bytes.size > MAX_ROUTES) this.#bytes.clear();
    const before = this.#bytes.get(route) ?? bytes;
    this.#bytes.set(route, before + (bytes - before) * NEWEST_WEIGHT);
  }

  /** Average size of the route's answers if they are large; otherwise, or if unknown, 0. */
  largeAnswerBytes(route: string): number {
    const bytes = this.#bytes.get(route) ?? 0;
    return bytes > SMALL_ANSWER_BYTES ? bytes : 0;
  }

  /** By how much another data centre must be expected to answer sooner, in milliseconds. */
  awayMs(route: string): number {
    const heavyBytes = Math.max(0, (this.#bytes.get(route) ?? 0) - SMALL_ANSWER_BYTES);
    return (heavyBytes / BYTES_PER_KB) * REMOTE_MS_PER_KB;
  }
}

/** Removes expired claims from the platform, page by page, at a bounded rate. */
import { type Platform, type Stored } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { CLAIM_PREFIX, parseClaim } from './single_claims.js';

/** Together with the pace: at most 150 removals and 2 reads a second. */
const PAGE = 75;
const PAGE_EVERY_MS = 500;
/** How long one call may take, in milliseconds. */
const CALL_MS = 5_000;

/**
 * One process of the fleet sweeps. Two that both believe it cost twice the reads: removals are
 * conditional, so neither takes a claim that was made anew.
 */
export class ClaimSweep {
  /** Claims removed so far. */
  removed = 0;

  constructor(
    private readonly platform: Platform,
    private readonly isSweeper: () => boolean,
    private readonly clock: Clock,
  ) {}

  /** Sweeps until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let after = CLAIM_PREFIX;
    while (!signal.aborted) {
      await this.clock.sleepUntil(this.clock.now() + PAGE_EVERY_MS, signal);
      if (signal.aborted || !this.isSweeper()) continue;
      try {
        after = await this.#page(after);
      } catch {
        // The store is away. The page is read again when it is back.
      }
    }
  }

  /** Sweeps one page; returns where the next one starts. */
  async #page(after: string): Promise<string> {
    const range = { prefix: CLAIM_PREFIX, after, limit: PAGE };
    const page = await this.platform.list(range, this.clock.now() + CALL_MS);
    for (const stored of page) await this.#remove(stored);
    return page.length < PAGE ? CLAIM_PREFIX : page.at(-1)!.key;
  }

  async #remove(stored: Stored): Promise<void> {
    const { expiresAt } = parseClaim(stored);
    const now = this.clock.now();
    if (expiresAt > now) return;
    const { key, revision } = stored;
    if (await this.platform.remove(key, revision, now + CALL_MS)) this.removed += 1;
  }
}

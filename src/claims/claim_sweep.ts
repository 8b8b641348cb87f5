/** Removes expired claims from the platform, page by page, at a bounded rate. */
import { type Platform, type Stored } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { CLAIM_PREFIX, parseClaim } from './single_claims.js';

/** Together with the pace: at most 150 removals and 2 reads a second. */
const PAGE = 75;
const PAGE_EVERY_MS = 500;
/** Rest after each pass over all claims, in milliseconds. */
const PASS_EVERY_MS = 5_000;
/** How long one call may take, in milliseconds. */
const CALL_MS = 2_000;

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
    for (let waitMs = PAGE_EVERY_MS; ;) {
      await this.clock.sleepUntil(this.clock.now() + waitMs, signal);
      if (signal.aborted) return;
      if (this.isSweeper()) after = await this.#page(after);
      waitMs = after === CLAIM_PREFIX ? PASS_EVERY_MS : PAGE_EVERY_MS;
    }
  }

  /** Sweeps one page; returns where the next one starts: at the same while the store is away. */
  async #page(after: string): Promise<string> {
    const range = { prefix: CLAIM_PREFIX, after, limit: PAGE };
    try {
      const page = await this.platform.list(range, this.clock.now() + CALL_MS);
      for (const stored of page) await this.#remove(stored);
      return page.length < PAGE ? CLAIM_PREFIX : page.at(-1)!.key;
    } catch {
      return after;
    }
  }

  async #remove(stored: Stored): Promise<void> {
    const now = this.clock.now();
    if (!isExpired(stored, now)) return;
    const { key, revision } = stored;
    if (await this.platform.remove(key, revision, now + CALL_MS)) this.removed += 1;
  }
}

/** One value that cannot be read must not end the sweep of all others: it stays. */
function isExpired(stored: Stored, now: number): boolean {
  try {
    return parseClaim(stored).expiresAt <= now;
  } catch {
    return false;
  }
}

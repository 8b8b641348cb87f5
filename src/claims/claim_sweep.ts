/** Removes expired claims from the platform, page by page, at a bounded rate. */
import { type Platform, type Stored } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { CLAIM_PREFIX, parseClaim } from './single_claims.js';

/** Claims per page. With the interval below: at most 150 removals and 2 reads a second. */
const PAGE_SIZE = 75;
const PAGE_INTERVAL_MS = 500;
/** Pause after each pass over all claims, in milliseconds. */
const PASS_INTERVAL_MS = 5_000;
/** Timeout of one call to the platform, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000;

/**
 * One process of the fleet sweeps. If two take themselves for the sweeper, this only doubles the
 * reads: removals are conditional on the revision, so neither removes a newly created claim.
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
    for (let waitMs = PAGE_INTERVAL_MS; ;) {
      await this.clock.sleepUntil(this.clock.now() + waitMs, signal);
      if (signal.aborted) return;
      if (this.isSweeper()) after = await this.#sweepPage(after);
      waitMs = after === CLAIM_PREFIX ? PASS_INTERVAL_MS : PAGE_INTERVAL_MS;
    }
  }

  /** Sweeps one page; returns the key after which the next starts, the same one if a call fails. */
  async #sweepPage(after: string): Promise<string> {
    const range = { prefix: CLAIM_PREFIX, after, limit: PAGE_SIZE };
    try {
      const page = await this.platform.list(range, this.clock.now() + CALL_TIMEOUT_MS);
      for (const stored of page) await this.#removeIfExpired(stored);
      return page.length < PAGE_SIZE ? CLAIM_PREFIX : page.at(-1)!.key;
    } catch {
      return after;
    }
  }

  async #removeIfExpired(stored: Stored): Promise<void> {
    const now = this.clock.now();
    if (!isExpired(stored, now)) return;
    const { key, revision } = stored;
    if (await this.platform.remove(key, revision, now + CALL_TIMEOUT_MS)) this.removed += 1;
  }
}

/** A claim that cannot be parsed is kept, so that it does not stop the sweep of the others. */
function isExpired(stored: Stored, now: number): boolean {
  try {
    return parseClaim(stored).expiresAt <= now;
  } catch {
    return false;
  }
}

/** Finds the first peers, at the configured addresses or in the directory on the platform. */
import { type Address, type Mesh } from '../distribution/mesh.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Directory } from './directory.js';
import { type Pace, STEADY } from './pace.js';

/** How often a process with links checks that it still has one, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;
/** First and highest cap of the jittered wait between dials to configured addresses, in ms. */
const INITIAL_DIAL_CAP_MS = 50;
const MAX_DIAL_CAP_MS = 5_000;
/**
 * Addresses dialled at a time. With only one, processes that start together form separate islands,
 * each with its own readers, until probes or the directory connect them.
 */
const CONCURRENT_DIALS = 3;
/** Longest window in which a process without links reads the directory once, in milliseconds. */
const MAX_LOOKUP_WINDOW_MS = 60_000;

/**
 * When a whole fleet restarts at once, most processes find peers at the configured addresses. The
 * others read the directory with full jitter, which spreads their reads over a window; the window
 * doubles with each attempt that finds no peer.
 */
export class Bootstrap {
  constructor(
    /** Configured addresses of link ports, as of now. */
    private readonly addresses: () => readonly Address[],
    private readonly mesh: Mesh,
    private readonly directory: Directory,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly pace: Pace = STEADY,
  ) {}

  /** Looks for peers whenever there is no link, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#dialConfigured(signal), this.#lookUpDirectory(signal)]);
  }

  async #dialConfigured(signal: AbortSignal): Promise<void> {
    let attempts = 0;
    while (!signal.aborted) {
      attempts = await this.#waitForAttempt(attempts, INITIAL_DIAL_CAP_MS, MAX_DIAL_CAP_MS, signal);
      if (signal.aborted || !this.#hasNoLinks) continue;
      const addresses = this.random.shuffled(this.addresses()).slice(0, CONCURRENT_DIALS);
      await Promise.all(addresses.map((address) => this.mesh.tryDial(address)));
    }
  }

  async #lookUpDirectory(signal: AbortSignal): Promise<void> {
    let attempts = 0;
    while (!signal.aborted) {
      attempts = await this.#waitForAttempt(
        attempts,
        this.pace.lookupWindowMs,
        MAX_LOOKUP_WINDOW_MS,
        signal,
      );
      if (signal.aborted || !this.#hasNoLinks) continue;
      // The platform is unreachable; the next attempt uses a larger window.
      await this.directory.read(signal).catch(() => {});
    }
  }

  /**
   * Waits until there are no links, then a jittered back-off; resolves to the number of attempts
   * since the last link, the one that follows included.
   */
  async #waitForAttempt(
    attempts: number,
    firstCapMs: number,
    capMs: number,
    signal: AbortSignal,
  ): Promise<number> {
    let previous = attempts;
    while (!signal.aborted && !this.#hasNoLinks) {
      previous = 0;
      await this.clock.sleepUntil(this.clock.now() + CHECK_INTERVAL_MS, signal);
    }
    const wait = this.random.backoff(previous, firstCapMs, capMs);
    await this.clock.sleepUntil(this.clock.now() + wait, signal);
    return previous + 1;
  }

  get #hasNoLinks(): boolean {
    return this.mesh.peers.length === 0;
  }
}

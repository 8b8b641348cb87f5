/** Finds the first others: at the addresses from the settings, or in the platform. */
import { type Address, type Mesh } from '../distribution/mesh.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Directory } from './directory.js';
import { type Pace, STEADY } from './pace.js';

/** How often a process that has links looks whether it still has, in milliseconds. */
const CHECK_EVERY_MS = 1_000;
/** Caps of the jittered wait between rounds over the addresses, in milliseconds. */
const KNOCK_FIRST_CAP_MS = 50;
const KNOCK_CAP_MS = 5_000;
/**
 * Addresses dialled at a time. Processes that start together and stop at the first one found form
 * islands, each with readers of its own, until probes or the directory bring them together.
 */
const KNOCKS_AT_ONCE = 3;
/** Longest window in which a process without links reads the directory, in milliseconds. */
const LOOKUP_WINDOW_MS = 60_000;

/**
 * When all processes of a fleet restart at once, most find others at the addresses from the
 * settings. Those that do not read the directory with full jitter, so that the platform sees the
 * herd spread over the window, and a window that doubles if the platform does not help either.
 */
export class Bootstrap {
  constructor(
    /** Link ports from the settings, as they are now. */
    private readonly addresses: () => readonly Address[],
    private readonly mesh: Mesh,
    private readonly directory: Directory,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly pace: Pace = STEADY,
  ) {}

  /** Looks for others whenever there is no link, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.#knock(signal), this.#lookUp(signal)]);
  }

  async #knock(signal: AbortSignal): Promise<void> {
    let attempts = 0;
    while (!signal.aborted) {
      attempts = await this.#waitAlone(attempts, KNOCK_FIRST_CAP_MS, KNOCK_CAP_MS, signal);
      if (signal.aborted || !this.#isAlone) continue;
      const addresses = this.random.shuffled(this.addresses()).slice(0, KNOCKS_AT_ONCE);
      await Promise.all(addresses.map((address) => this.mesh.introduce(address)));
    }
  }

  async #lookUp(signal: AbortSignal): Promise<void> {
    let attempts = 0;
    while (!signal.aborted) {
      attempts = await this.#waitAlone(
        attempts,
        this.pace.lookupWindowMs,
        LOOKUP_WINDOW_MS,
        signal,
      );
      if (signal.aborted || !this.#isAlone) continue;
      // The platform is away; the next attempt comes in a larger window.
      await this.directory.read(signal).catch(() => {});
    }
  }

  /** Waits as long as there are links, then with jitter; resolves to the attempts so far. */
  async #waitAlone(
    attempts: number,
    firstCapMs: number,
    capMs: number,
    signal: AbortSignal,
  ): Promise<number> {
    let before = attempts;
    while (!signal.aborted && !this.#isAlone) {
      before = 0;
      await this.clock.sleepUntil(this.clock.now() + CHECK_EVERY_MS, signal);
    }
    const wait = this.random.jitter(Math.min(capMs, firstCapMs * 2 ** before));
    await this.clock.sleepUntil(this.clock.now() + wait, signal);
    return before + 1;
  }

  get #isAlone(): boolean {
    return this.mesh.peers.length === 0;
  }
}

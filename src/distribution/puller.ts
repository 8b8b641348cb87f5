/** Pulls what this process lacks from peers that are ahead. */
import { type Pull, type Pulled, type Snapshot, type SnapshotPage } from '../contracts.js';
import { type Peer } from '../link/peer.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Mesh } from './mesh.js';
import { PULL } from './methods.js';
import { type Profile } from './profile.js';
import { type Replica } from './replica.js';

const PULL_TIMEOUT_MS = 2_000;
/** Without an answer for this long, another peer is asked beside, in milliseconds. */
const HEDGE_MS = 300;
/** Cap of the wait after a peer's first failure, in milliseconds; it doubles with each. */
const FIRST_WAIT_MS = 500;
const MAX_WAIT_MS = 15_000;
/**
 * Least wait before a peer whose version was refused is asked again, in milliseconds. It would
 * serve the same version again: without a wait, both would do nothing else.
 */
const REFUSED_WAIT_MS = 10_000;

/** How a peer has done so far. */
interface Standing {
  failures: number;
  /** Instant before which it is not asked. */
  retryAt: number;
}

/** One task while the process is behind; one pull at a time from each peer. */
export class Puller {
  #isRunning = false;

  #stirred = new AbortController();

  readonly #flights = new Map<Peer, Promise<void>>();

  readonly #standings = new WeakMap<Peer, Standing>();

  constructor(
    private readonly replica: Replica,
    private readonly mesh: Mesh,
    private readonly roster: Roster,
    private readonly profile: Profile,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Looks for peers that are ahead; called whenever one may have got there. */
  wake(): void {
    this.#stirred.abort();
    if (!this.#isRunning && this.#ahead().length > 0) void this.#run();
  }

  async #run(): Promise<void> {
    this.#isRunning = true;
    const { patienceMs } = this.profile;
    await this.clock.sleepUntil(this.clock.now() + patienceMs + this.random.jitter(patienceMs));
    while (this.#ahead().length > 0) await this.#step();
    this.#isRunning = false;
  }

  /** Asks one more peer, or waits until one may be asked. */
  async #step(): Promise<void> {
    const now = this.clock.now();
    const free = this.#ahead().filter((peer) => !this.#flights.has(peer));
    const ready = free.filter((peer) => this.#standing(peer).retryAt <= now);
    const peer = this.#choose(ready);
    if (peer) this.#start(peer);
    const retries = free.map((other) => this.#standing(other).retryAt);
    const until = peer ? now + HEDGE_MS : Math.min(...retries, now + PULL_TIMEOUT_MS);
    this.#stirred = new AbortController();
    const pause = this.clock.sleepUntil(until, peer ? undefined : this.#stirred.signal);
    await Promise.race([pause, ...this.#flights.values()]);
  }

  #ahead(): Peer[] {
    const held = this.replica.current.number;
    return this.mesh.peers.filter((peer) => peer.version > held && !peer.link.closed.aborted);
  }

  /** Any of the own data centre, so that a herd spreads over all that can serve it. */
  #choose(peers: readonly Peer[]): Peer | undefined {
    const { dataCentre } = this.roster.self;
    const near = peers.filter((peer) => peer.member?.dataCentre === dataCentre);
    const choice = near.length > 0 ? near : peers;
    return choice[this.random.below(choice.length)];
  }

  #start(peer: Peer): void {
    const flight = this.#pull(peer).finally(() => this.#flights.delete(peer));
    this.#flights.set(peer, flight);
  }

  async #pull(peer: Peer): Promise<void> {
    const standing = this.#standing(peer);
    const before = this.replica.current;
    try {
      const answer = await this.#request(peer, this.#pullOf(standing));
      if (answer.busyMs !== undefined) {
        standing.retryAt = this.#back(answer.busyMs);
        return;
      }
      // It was worked out against what is not in force any more.
      if (answer.difference && this.replica.current !== before) return;
      const isWhole = await this.#take(peer, answer);
      if (this.replica.current.number > before.number) standing.failures = 0;
      else this.#postpone(standing, isWhole ? 0 : REFUSED_WAIT_MS);
    } catch {
      this.#postpone(standing, 0);
    }
  }

  /**
   * With a summary of what is held, if it holds anything. A peer that has failed is asked without: it
   * may be of a release that knows none, or the difference that it told may not add up.
   */
  #pullOf({ failures }: Standing): Pull {
    const { number: after, summary } = this.replica.current;
    return after > 0 && failures === 0 ? { after, summary: [...summary] } : { after };
  }

  async #take(peer: Peer, { versions, difference, page }: Pulled): Promise<boolean> {
    if (difference) return this.replica.settle(difference, this.clock.now());
    if (page) return this.replica.install(await this.#collect(peer, page));
    return this.replica.apply(versions, 'pull');
  }

  /** Asks for the pages that follow the first; rejects if they do not make one snapshot. */
  async #collect(peer: Peer, first: SnapshotPage): Promise<Snapshot> {
    const { number, digest, parent, total } = first;
    const resources = [...first.resources];
    while (resources.length < total) {
      const offset = resources.length;
      const { page, busyMs } = await this.#request(peer, { after: 0, page: { number, offset } });
      if (busyMs !== undefined) {
        await this.clock.sleepUntil(this.#back(busyMs), peer.link.closed);
        continue;
      }
      if (page?.number !== number || page.offset !== offset || page.resources.length === 0) {
        throw new Error('pages of another version');
      }
      resources.push(...page.resources);
    }
    return { number, digest, parent, resources };
  }

  #request(peer: Peer, pull: Pull): Promise<Pulled> {
    return peer.request(PULL, pull, this.clock.now() + PULL_TIMEOUT_MS);
  }

  /** When to come back to a peer that is busy: spread, so that a herd does not return as one. */
  #back(busyMs: number): number {
    return this.clock.now() + busyMs + this.random.jitter(busyMs);
  }

  #postpone(standing: Standing, leastMs: number): void {
    const cap = Math.min(MAX_WAIT_MS, FIRST_WAIT_MS * 2 ** standing.failures);
    standing.failures += 1;
    standing.retryAt = this.clock.now() + leastMs + this.random.jitter(cap);
  }

  #standing(peer: Peer): Standing {
    const known = this.#standings.get(peer);
    if (known) return known;
    const standing = { failures: 0, retryAt: 0 };
    this.#standings.set(peer, standing);
    return standing;
  }
}

/** Pulls the versions that this process lacks from peers that are ahead. */
import { type Pull, type Pulled, type Snapshot, type SnapshotPage } from '../contracts.js';
import { type Peer } from '../link/peer.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { type Mesh } from './mesh.js';
import { PULL } from './methods.js';
import { type Profile } from './profile.js';
import { type Replica } from './replica.js';

const PULL_TIMEOUT_MS = 2_000;
/** Time without an answer after which another peer is asked as well, in milliseconds. */
const HEDGE_MS = 300;
/** Time behind without any progress after which the peers count as no help, in milliseconds. */
const STALLED_MS = 700;
/**
 * Cap of the jittered backoff after a peer's first failure, in milliseconds; it doubles with each
 * further failure.
 */
const INITIAL_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 15_000;
/**
 * Minimum backoff for a peer whose version was refused, in milliseconds. The peer would serve the
 * same version again, so without a wait both would do nothing but repeat it.
 */
const REFUSED_BACKOFF_MS = 10_000;

/** Pull failures and backoff of a peer. */
interface PeerState {
  failures: number;
  /** Earliest instant at which the peer is asked again. */
  retryAt: number;
}

/** Runs one task while the process is behind, with at most one pull in flight per peer. */
export class Puller {
  #isRunning = false;

  #wakeUp = new AbortController();

  readonly #pullsInFlight = new Map<Peer, Promise<void>>();

  readonly #peerStates = new WeakMap<Peer, PeerState>();

  /** When this process fell behind or last got nearer to its peers, in milliseconds since the epoch. */
  #progressAt = 0;

  /** Called every `STALLED_MS` while peers are ahead and this process gets no nearer to them. */
  onStalled: () => void = () => {};

  constructor(
    private readonly replica: Replica,
    private readonly mesh: Mesh,
    private readonly roster: Roster,
    private readonly profile: Profile,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    replica.onApplied(() => this.#recordProgress());
  }

  /** Starts pulling if any peer is ahead; call it whenever a peer may have got ahead. */
  wake(): void {
    this.#wakeUp.abort();
    if (!this.#isRunning && this.#peersAhead().length > 0) runInBackground('pull', this.#run());
  }

  async #run(): Promise<void> {
    this.#isRunning = true;
    this.#recordProgress();
    const { pushWaitMs } = this.profile;
    await this.clock.sleepUntil(this.clock.now() + pushWaitMs + this.random.jitter(pushWaitMs));
    try {
      while (this.#peersAhead().length > 0) await this.#step();
    } finally {
      // After a failure the next heartbeat of a peer that is ahead starts it again.
      this.#isRunning = false;
    }
  }

  /** Pulls from one more peer, or waits until a pull may start. */
  async #step(): Promise<void> {
    const now = this.clock.now();
    if (now >= this.#stalledAt) {
      this.onStalled();
      this.#recordProgress();
    }
    const idle = this.#peersAhead().filter((peer) => !this.#pullsInFlight.has(peer));
    const ready = idle.filter((peer) => this.#stateOf(peer).retryAt <= now);
    const peer = this.#choose(ready);
    if (peer) this.#startPull(peer);
    const retries = idle.map((other) => this.#stateOf(other).retryAt);
    const until = peer ? now + HEDGE_MS : Math.min(...retries, this.#stalledAt);
    this.#wakeUp = new AbortController();
    const timer = this.clock.sleepUntil(until, peer ? undefined : this.#wakeUp.signal);
    await Promise.race([timer, ...this.#pullsInFlight.values()]);
  }

  get #stalledAt(): number {
    return this.#progressAt + STALLED_MS;
  }

  #recordProgress(): void {
    this.#progressAt = this.clock.now();
  }

  #peersAhead(): Peer[] {
    const held = this.replica.current.number;
    return this.mesh.peers.filter((peer) => peer.version > held && !peer.link.closed.aborted);
  }

  /**
   * Picks a random peer, preferably of the own data centre, so that pulls of many processes are
   * spread evenly.
   */
  #choose(peers: readonly Peer[]): Peer | undefined {
    const { dataCentre } = this.roster.self;
    const local = peers.filter((peer) => peer.member?.dataCentre === dataCentre);
    const candidates = local.length > 0 ? local : peers;
    return candidates[this.random.below(candidates.length)];
  }

  #startPull(peer: Peer): void {
    const pull = this.#pull(peer).finally(() => this.#pullsInFlight.delete(peer));
    this.#pullsInFlight.set(peer, pull);
  }

  async #pull(peer: Peer): Promise<void> {
    const state = this.#stateOf(peer);
    const before = this.replica.current;
    try {
      const answer = await this.#request(peer, this.#pullRequest(state));
      if (answer.busyMs !== undefined) {
        this.#recordProgress();
        state.retryAt = this.#busyRetryTime(answer.busyMs);
        return;
      }
      // The difference was computed against a configuration that is not current any more.
      if (answer.difference && this.replica.current !== before) return;
      const isApplied = await this.#applyAnswer(peer, answer);
      if (this.replica.current.number > before.number) state.failures = 0;
      else this.#backOff(state, isApplied ? 0 : REFUSED_BACKOFF_MS);
    } catch {
      this.#backOff(state, 0);
    }
  }

  /**
   * Builds the request. It includes a summary of the current configuration, if there is one. A peer
   * that has failed is asked without it: its release may not know summaries, or the difference that
   * it sent may not match its digest.
   */
  #pullRequest({ failures }: PeerState): Pull {
    const { number: after, summary } = this.replica.current;
    return after > 0 && failures === 0 ? { after, summary: [...summary] } : { after };
  }

  async #applyAnswer(peer: Peer, { versions, difference, page }: Pulled): Promise<boolean> {
    if (difference) return this.replica.applyDifference(difference, this.clock.now());
    if (page) return this.replica.install(await this.#collectPages(peer, page));
    return this.replica.apply(versions, 'pull');
  }

  /** Requests the pages after the first; rejects if they are not all of the same snapshot. */
  async #collectPages(peer: Peer, first: SnapshotPage): Promise<Snapshot> {
    const { number, digest, parent, total } = first;
    const resources = [...first.resources];
    while (resources.length < total) {
      const offset = resources.length;
      const { page, busyMs } = await this.#request(peer, { after: 0, page: { number, offset } });
      if (busyMs !== undefined) {
        await this.clock.sleepUntil(this.#busyRetryTime(busyMs), peer.link.closed);
        continue;
      }
      if (page?.number !== number || page.offset !== offset || page.resources.length === 0) {
        throw new Error(`unexpected page while collecting version ${number} at offset ${offset}`);
      }
      this.#recordProgress();
      resources.push(...page.resources);
    }
    return { number, digest, parent, resources };
  }

  #request(peer: Peer, pull: Pull): Promise<Pulled> {
    return peer.request(PULL, pull, this.clock.now() + PULL_TIMEOUT_MS);
  }

  /**
   * When to ask a busy peer again; jittered, so that processes that were told so together do not
   * return together.
   */
  #busyRetryTime(busyMs: number): number {
    return this.clock.now() + busyMs + this.random.jitter(busyMs);
  }

  #backOff(state: PeerState, minWaitMs: number): void {
    const wait = this.random.backoff(state.failures, INITIAL_BACKOFF_MS, MAX_BACKOFF_MS);
    state.failures += 1;
    state.retryAt = this.clock.now() + minWaitMs + wait;
  }

  #stateOf(peer: Peer): PeerState {
    const known = this.#peerStates.get(peer);
    if (known) return known;
    const state = { failures: 0, retryAt: 0 };
    this.#peerStates.set(peer, state);
    return state;
  }
}

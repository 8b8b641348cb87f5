/**
 * Distributes versions between processes: pushes them down the tree and pulls what this process
 * lacks.
 */
import { type Heartbeat, type Recall, type Recalled, type Version } from '../contracts.js';
import { type Methods, notifyAll, type Peer } from '../link/peer.js';
import { type Ranking } from '../membership/ranking.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { type Mesh } from './mesh.js';
import { AHEAD, PULL, PUSH, READING, RECALL } from './methods.js';
import { MAX_CHANGE_BYTES, versionBytes } from './pages.js';
import { type Profile } from './profile.js';
import { Puller } from './puller.js';
import { PullResponder } from './pull_responder.js';
import { InstanceVersions } from './instance_versions.js';
import { type Replica } from './replica.js';

export class Distributor {
  readonly #puller: Puller;

  readonly #instanceVersions = new InstanceVersions();

  #pendingVersions: Version[] = [];

  #isScheduled = false;

  /** Whether the pending versions came from the source, without the rank for it, or not from the parent. */
  #cameOutsideTree = false;

  constructor(
    private readonly replica: Replica,
    private readonly mesh: Mesh,
    private readonly roster: Roster,
    private readonly ranking: Ranking,
    private readonly profile: Profile,
    private readonly clock: Clock,
    random: Random,
    methods: Methods,
    private readonly isReady: () => boolean,
  ) {
    this.#puller = new Puller(replica, mesh, roster, profile, clock, random);
    const responder = new PullResponder(replica, clock);
    replica.onApplied((versions) => this.#handleApplied(versions));
    mesh.onOpen((peer) => {
      peer.isReady = peer.hello?.isReady ?? false;
      this.#recordVersion(peer, peer.version);
    });
    methods
      .on(PUSH, (peer, { versions }) => this.#handlePush(peer, versions))
      .on(AHEAD, (peer, ahead) => {
        peer.isReady ||= ahead.isReady;
        this.#recordVersion(peer, ahead.version);
      })
      .on(READING, (peer) => {
        peer.readsSource = true;
        this.#recordVersion(peer, peer.version);
      })
      .on(PULL, (_, pull) => responder.answer(pull))
      .on(RECALL, (_, recall) => this.#handleRecall(recall));
  }

  /** Sets what is called while peers are ahead and their versions do not arrive. */
  onStalled(listener: () => void): void {
    this.#puller.onStalled = listener;
  }

  /** Records the version in a peer's heartbeat, and pulls if the peer is ahead. */
  handleHeartbeat(peer: Peer, { version, digest }: Heartbeat): void {
    const { current } = this.replica;
    // Both ends record a refusal, as neither can tell which chain is the accepted one.
    if (version === current.number && !current.digest.startsWith(digest)) {
      this.replica.recordRefusal(version, 'chain');
    }
    this.#recordVersion(peer, version);
  }

  /**
   * Tells all peers that this process is ready, so that they can confirm its version if it
   * restarts.
   */
  announceReady(): void {
    const version = this.replica.current.number;
    for (const peer of this.mesh.peers) peer.notify(AHEAD, { version, isReady: true });
  }

  #recordVersion(peer: Peer, version: number): void {
    peer.version = Math.max(peer.version, version);
    const isUpperBound = peer.isReady && !peer.readsSource && !this.#isReader(peer);
    if (peer.member) this.#instanceVersions.record(peer.member, version, isUpperBound);
    this.#puller.wake();
  }

  #isReader({ member }: Peer): boolean {
    if (!member) return false;
    const readers = this.ranking.readers(member.dataCentre);
    return readers.some(({ instance }) => instance === member.instance);
  }

  #handleRecall({ instance, incarnation }: Recall): Recalled {
    const remembered = this.#instanceVersions.versionBefore(instance, incarnation);
    return { remembered, holds: this.replica.current.number };
  }

  #handleApplied(versions: readonly Version[]): void {
    this.#pendingVersions.push(...versions);
    this.#cameOutsideTree ||= this.replica.origin === 'source' && !this.ranking.isReader;
    const { batchWindowMs } = this.profile;
    if (batchWindowMs === 0) this.#propagate();
    else if (!this.#isScheduled) {
      this.#isScheduled = true;
      runInBackground('propagation', this.#propagateLater(batchWindowMs));
    }
  }

  async #propagateLater(batchWindowMs: number): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + batchWindowMs);
    this.#isScheduled = false;
    this.#propagate();
  }

  #propagate(): void {
    const versions = this.#pendingVersions;
    const receives = this.#pushReceivers();
    this.#pendingVersions = [];
    this.#cameOutsideTree = false;
    const receivers: Peer[] = [];
    for (const peer of this.mesh.peers) {
      if (receives(peer)) receivers.push(peer);
      else if (this.profile.pushes) this.#announceVersion(peer);
    }
    this.#push(receivers, versions);
  }

  /**
   * The children; all neighbours of the data centre if the versions came outside the tree. The parents of those
   * neighbours are then likely to stand still, and if each neighbour waited for a push before it pulled, the
   * waits would add up along the ring.
   */
  #pushReceivers(): (peer: Peer) => boolean {
    const { dataCentre } = this.roster.self;
    if (this.#cameOutsideTree) return ({ member }) => member?.dataCentre === dataCentre;
    const children = new Set(this.ranking.children.map(({ instance }) => instance));
    return ({ member }) => member !== undefined && children.has(member.instance);
  }

  /**
   * Pushes the versions to the receivers, if the profile says so. Receivers that lack the same
   * versions share one message, which is encoded once. A receiver is only told the version number, and
   * pulls, if the versions are too large for one message or if it lacks earlier versions too.
   */
  #push(receivers: readonly Peer[], versions: readonly Version[]): void {
    const peersByMissing = new Map<number, Peer[]>();
    for (const peer of receivers) {
      const count = versions.filter(({ number }) => number > peer.version).length;
      peersByMissing.set(count, [...(peersByMissing.get(count) ?? []), peer]);
    }
    for (const [count, peers] of peersByMissing) {
      const missing = versions.slice(versions.length - count);
      if (this.#canPush(missing)) notifyAll(peers, PUSH, { versions: missing });
      else peers.forEach((peer) => this.#announceVersion(peer));
    }
  }

  #canPush(versions: readonly Version[]): boolean {
    if (!this.profile.pushes || versions.length === 0) return false;
    const bytes = versions.reduce((sum, version) => sum + versionBytes(version), 0);
    return bytes <= MAX_CHANGE_BYTES;
  }

  /**
   * Tells a peer the number of the current version, unless the peer is known to hold it. Peers
   * outside the own subtree are told, too: if only the tree were informed, a parent that dies
   * during a push would leave its subtree waiting for the next heartbeats. Ring neighbours and
   * peers in other data centres learn of the version at once, and pull it if the tree does not
   * deliver it.
   */
  #announceVersion(peer: Peer): void {
    const version = this.replica.current.number;
    if (version > peer.version) peer.notify(AHEAD, { version, isReady: this.isReady() });
  }

  #handlePush(peer: Peer, versions: readonly Version[]): void {
    this.#cameOutsideTree ||= peer.member?.instance !== this.ranking.parent?.instance;
    this.replica.apply(versions, 'push');
    if (this.#pendingVersions.length === 0) this.#cameOutsideTree = false;
    this.#recordVersion(peer, versions.at(-1)?.number ?? 0);
  }
}

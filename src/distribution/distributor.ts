/** Moves versions from process to process: down the tree, and to whoever is behind. */
import { type Heartbeat, type Recall, type Recalled, type Version } from '../contracts.js';
import { type Methods, notifyAll, type Peer } from '../link/peer.js';
import { READERS, type Ranking } from '../membership/ranking.js';
import { type Roster } from '../membership/roster.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Mesh } from './mesh.js';
import { AHEAD, PULL, PUSH, RECALL } from './methods.js';
import { CHANGE_BYTES, sizeOf } from './pages.js';
import { type Profile } from './profile.js';
import { Puller } from './puller.js';
import { Relay } from './relay.js';
import { Remembered } from './remembered.js';
import { type Replica } from './replica.js';

export class Distributor {
  readonly #puller: Puller;

  readonly #remembered = new Remembered();

  #gathered: Version[] = [];

  #spreading: Promise<void> | undefined;

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
    const relay = new Relay(replica, clock);
    replica.onApplied((versions) => this.#applied(versions));
    mesh.onOpen((peer) => {
      peer.isReady = peer.hello?.isReady ?? false;
      this.#note(peer, peer.version);
    });
    methods
      .on(PUSH, (peer, { versions }) => this.#pushed(peer, versions))
      .on(AHEAD, (peer, ahead) => {
        peer.isReady ||= ahead.isReady;
        this.#note(peer, ahead.version);
      })
      .on(PULL, (_, pull) => relay.answer(pull))
      .on(RECALL, (_, recall) => this.#recalled(recall));
  }

  /** Notes the version of a peer's heartbeat, and pulls if it is ahead. */
  heard(peer: Peer, { version, digest }: Heartbeat): void {
    const { current } = this.replica;
    // Both ends note it: neither can tell whose chain is the accepted one.
    if (version === current.number && !current.digest.startsWith(digest)) {
      this.replica.reject(version, 'chain');
    }
    this.#note(peer, version);
  }

  /** Tells all peers that this process is ready, so that they can vouch for it later. */
  announce(): void {
    const version = this.replica.current.number;
    for (const peer of this.mesh.peers) peer.notify(AHEAD, { version, isReady: true });
  }

  #note(peer: Peer, version: number): void {
    peer.version = Math.max(peer.version, version);
    const isSure = peer.isReady && !this.#isReader(peer);
    if (peer.member) this.#remembered.note(peer.member, version, isSure);
    this.#puller.wake();
  }

  #isReader({ member }: Peer): boolean {
    const first = member ? this.ranking.ranked(member.dataCentre).slice(0, READERS) : [];
    return first.some(({ instance }) => instance === member?.instance);
  }

  #recalled({ instance, incarnation }: Recall): Recalled {
    const remembered = this.#remembered.before(instance, incarnation);
    return { remembered, holds: this.replica.current.number };
  }

  #applied(versions: readonly Version[]): void {
    this.#gathered.push(...versions);
    const { gatherMs } = this.profile;
    if (gatherMs === 0) this.#spread();
    else this.#spreading ??= this.#spreadLater(gatherMs);
  }

  async #spreadLater(gatherMs: number): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + gatherMs);
    this.#spreading = undefined;
    this.#spread();
  }

  #spread(): void {
    const versions = this.#gathered;
    this.#gathered = [];
    const isChild = new Set(this.ranking.children.map(({ instance }) => instance));
    const children: Peer[] = [];
    for (const peer of this.mesh.peers) {
      if (peer.member && isChild.has(peer.member.instance)) children.push(peer);
      else if (this.profile.pushes) this.#hint(peer);
    }
    this.#feed(children, versions);
  }

  /**
   * Children are sent the versions themselves if the profile has it so; those that lack the same
   * ones get one message, which is encoded once. For whom they are too large for one message, or
   * who lacks earlier ones too, hears that they are there and pulls.
   */
  #feed(children: readonly Peer[], versions: readonly Version[]): void {
    const alike = new Map<number, Peer[]>();
    for (const peer of children) {
      const count = versions.filter(({ number }) => number > peer.version).length;
      alike.set(count, [...(alike.get(count) ?? []), peer]);
    }
    for (const [count, peers] of alike) {
      const news = versions.slice(versions.length - count);
      if (this.#mayPush(news)) notifyAll(peers, PUSH, { versions: news });
      else peers.forEach((peer) => this.#hint(peer));
    }
  }

  #mayPush(versions: readonly Version[]): boolean {
    if (!this.profile.pushes || versions.length === 0) return false;
    const bytes = versions.reduce((sum, version) => sum + sizeOf(version), 0);
    return bytes <= CHANGE_BYTES;
  }

  /**
   * Were only the tree told, a relay that dies in mid-push would keep its subtree waiting for the
   * next heartbeats. The neighbours on the ring, and other data centres, hear of the version at
   * once and pull it if the tree does not bring it.
   */
  #hint(peer: Peer): void {
    const version = this.replica.current.number;
    if (version > peer.version) peer.notify(AHEAD, { version, isReady: this.isReady() });
  }

  #pushed(peer: Peer, versions: readonly Version[]): void {
    this.replica.apply(versions, 'push');
    this.#note(peer, versions.at(-1)?.number ?? 0);
  }
}

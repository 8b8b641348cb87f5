/** Spreads membership: news to all neighbours, heartbeats, suspicion, reconciliation. */
import { type Member } from '../contracts.js';
import { type Methods, type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { type Mesh } from '../distribution/mesh.js';
import { GOSSIP, HEARTBEAT, RECONCILE } from '../distribution/methods.js';
import { type Replica } from '../distribution/replica.js';
import { type Roster } from './roster.js';

/** News gathered for this long goes out in one message. */
const GATHER_MS = 20;
/** A suspect that does not refute for this long is taken for dead. */
const SUSPICION_MS = 3_000;
/** A link on which nothing was heard for so many heartbeats is closed. */
const SILENT_HEARTBEATS = 4;
/** Rosters that differ for so many heartbeats are reconciled. */
const DIFFERING_HEARTBEATS = 2;
const RECONCILE_TIMEOUT_MS = 2_000;

export class GossipTask {
  #news = new Map<string, Member>();

  #flushAt: Promise<void> | undefined;

  readonly #suspectedAt = new Map<string, number>();

  readonly #differing = new WeakMap<Peer, number>();

  constructor(
    private readonly roster: Roster,
    private readonly mesh: Mesh,
    private readonly replica: Replica,
    private readonly clock: Clock,
    private readonly heartbeatMs: number,
    methods: Methods,
  ) {
    roster.onNews((members) => this.#gather(members));
    mesh.onOpen((peer) => void this.#reconcile(peer));
    mesh.onClose((peer) => this.#suspect(peer));
    methods
      .on(GOSSIP, (_, { members }) => void roster.merge(members))
      .on(RECONCILE, (_, { members }) => {
        roster.merge(members);
        return { members: roster.all() };
      });
  }

  /** Sends heartbeats and judges silence until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#beat();
      this.#judge();
      await this.clock.sleepUntil(this.clock.now() + this.heartbeatMs, signal);
    }
  }

  /** Notes a neighbour's roster; called with each heartbeat that comes in. */
  compare(peer: Peer, hash: string): void {
    if (hash === this.roster.hash) {
      this.#differing.delete(peer);
      return;
    }
    const times = (this.#differing.get(peer) ?? 0) + 1;
    this.#differing.set(peer, times);
    if (times >= DIFFERING_HEARTBEATS) void this.#reconcile(peer);
  }

  #beat(): void {
    const { number: version, digest } = this.replica.current;
    const roster = this.roster.hash;
    const silentSince = this.clock.now() - SILENT_HEARTBEATS * this.heartbeatMs;
    for (const peer of this.mesh.peers) {
      if (peer.lastHeard < silentSince) peer.link.close();
      else peer.notify(HEARTBEAT, { version, digest, roster });
    }
  }

  #judge(): void {
    const now = this.clock.now();
    for (const { instance, liveness } of this.roster.all()) {
      if (liveness !== 'suspect') {
        this.#suspectedAt.delete(instance);
        continue;
      }
      const since = this.#suspectedAt.get(instance) ?? now;
      this.#suspectedAt.set(instance, since);
      if (now - since >= SUSPICION_MS) this.roster.mark(instance, 'dead');
    }
  }

  #suspect(peer: Peer): void {
    const instance = peer.member?.instance;
    if (instance !== undefined) this.roster.mark(instance, 'suspect');
  }

  #gather(members: readonly Member[]): void {
    for (const member of members) this.#news.set(member.instance, member);
    this.#flushAt ??= this.clock.sleepUntil(this.clock.now() + GATHER_MS).then(() => this.#flush());
  }

  #flush(): void {
    const members = [...this.#news.values()];
    this.#news = new Map();
    this.#flushAt = undefined;
    for (const peer of this.mesh.peers) peer.notify(GOSSIP, { members });
  }

  async #reconcile(peer: Peer): Promise<void> {
    this.#differing.delete(peer);
    try {
      const deadline = this.clock.now() + RECONCILE_TIMEOUT_MS;
      const { members } = await peer.request(RECONCILE, { members: this.roster.all() }, deadline);
      this.roster.merge(members);
    } catch {
      // The next differing heartbeats try again.
    }
  }
}

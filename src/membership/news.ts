/** Spreads statements that are news, to those neighbours that do not know them yet. */
import { type Member } from '../contracts.js';
import { type Mesh } from '../distribution/mesh.js';
import { GOSSIP } from '../distribution/methods.js';
import { type Methods, type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Origin, type Roster } from './roster.js';
import { isNewer } from './statement.js';

/**
 * News is gathered for so long at least and as long again at most, in milliseconds. Were it the
 * same everywhere, neighbours would send each other the same news at the same moment.
 */
const GATHER_MS = 10;

/** A statement that waits to be sent. */
interface Item {
  readonly member: Member;
  /** Instances that have sent it themselves. */
  readonly knownTo: Set<string>;
}

/**
 * Each statement crosses a link once each way at most: it is sent on only when it is news, and
 * not to the neighbour it came from. So a change costs each process its number of links at most.
 */
export class News {
  #sent = 0;

  #received = 0;

  #items = new Map<string, Item>();

  #flushing: Promise<void> | undefined;

  constructor(
    private readonly roster: Roster,
    private readonly mesh: Mesh,
    private readonly clock: Clock,
    private readonly random: Random,
    methods: Methods,
  ) {
    roster.onNews((members, origin) => this.#gather(members, origin));
    methods.on(GOSSIP, (peer, { members }) => this.#take(peer, members));
  }

  /** Messages sent. */
  get sent(): number {
    return this.#sent;
  }

  /** Messages received. */
  get received(): number {
    return this.#received;
  }

  /** Sends what waits and resolves when `enough` neighbours, or all, have it, or at the deadline. */
  async settle(deadline: number, enough = Infinity): Promise<void> {
    const items = this.#drain();
    let confirmed = 0;
    const isEnough = new AbortController();
    const sending = this.mesh.peers.map(async (peer) => {
      const members = unknownTo(peer, items);
      if (members.length === 0) return;
      this.#sent += 1;
      await peer.request(GOSSIP, { members }, deadline);
      confirmed += 1;
      if (confirmed >= enough) isEnough.abort();
    });
    await Promise.race([Promise.allSettled(sending), aborted(isEnough.signal)]);
  }

  #gather(members: readonly Member[], origin: Origin): void {
    for (const member of members) {
      // What became news as a refutation is not what the neighbour has sent.
      const isOwn = member.instance === this.roster.self.instance;
      if (origin.isBulk && !isOwn) continue;
      const knownTo = new Set(origin.instance === undefined || isOwn ? [] : [origin.instance]);
      this.#items.set(member.instance, { member, knownTo });
    }
    if (this.#items.size > 0) this.#flushing ??= this.#flushLater();
  }

  async #flushLater(): Promise<void> {
    const wait = GATHER_MS + this.random.jitter(GATHER_MS);
    await this.clock.sleepUntil(this.clock.now() + wait);
    this.#flushing = undefined;
    const items = this.#drain();
    for (const peer of this.mesh.peers) {
      const members = unknownTo(peer, items);
      if (members.length === 0) continue;
      this.#sent += 1;
      peer.notify(GOSSIP, { members });
    }
  }

  #drain(): readonly Item[] {
    const items = [...this.#items.values()];
    this.#items = new Map();
    return items;
  }

  #take(peer: Peer, members: readonly Member[]): void {
    this.#received += 1;
    const instance = peer.member?.instance;
    if (instance === undefined) return;
    for (const member of members) {
      const item = this.#items.get(member.instance);
      if (item && !isNewer(item.member, member)) item.knownTo.add(instance);
    }
    this.roster.merge(members, { instance });
  }
}

function unknownTo(peer: Peer, items: readonly Item[]): Member[] {
  const instance = peer.member?.instance ?? '';
  return items.filter(({ knownTo }) => !knownTo.has(instance)).map(({ member }) => member);
}

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}

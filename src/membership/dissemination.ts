/** Sends changed member records to the neighbours that do not have them yet. */
import { type Member } from '../contracts.js';
import { type Mesh } from '../distribution/mesh.js';
import { GOSSIP } from '../distribution/methods.js';
import { type Methods, type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { type UpdateOrigin, type Roster } from './roster.js';
import { isNewer } from './member_record.js';

/**
 * Records are batched for this long, plus up to as much jitter, in milliseconds. Without jitter,
 * neighbours would send each other the same records at the same moment.
 */
const BATCH_DELAY_MS = 10;

/** A member record waiting to be sent. */
interface PendingRecord {
  readonly member: Member;
  /** Instances that have sent this record, or a newer one, themselves. */
  readonly knownBy: Set<string>;
}

/**
 * Each record crosses a link at most once each way: it is forwarded only when it changes the
 * roster, and not to the neighbour it came from. So a change costs a process at most one message
 * per link.
 */
export class Dissemination {
  #sent = 0;

  #received = 0;

  #pending = new Map<string, PendingRecord>();

  #isFlushing = false;

  constructor(
    private readonly roster: Roster,
    private readonly mesh: Mesh,
    private readonly clock: Clock,
    private readonly random: Random,
    methods: Methods,
  ) {
    roster.onUpdate((members, origin) => this.#enqueue(members, origin));
    methods.on(GOSSIP, (peer, { members }) => this.#receive(peer, members));
  }

  /** Number of messages sent. */
  get sent(): number {
    return this.#sent;
  }

  /** Number of messages received. */
  get received(): number {
    return this.#received;
  }

  /**
   * Sends the pending records; resolves when `minConfirmed` neighbours, or all of them, have
   * confirmed, or at the deadline.
   */
  async flush(deadline: number, minConfirmed = Infinity): Promise<void> {
    const items = this.#takePending();
    let confirmed = 0;
    const isConfirmed = new AbortController();
    const sending = this.mesh.peers.map(async (peer) => {
      const members = unknownTo(peer, items);
      if (members.length === 0) return;
      this.#sent += 1;
      await peer.request(GOSSIP, { members }, deadline);
      confirmed += 1;
      if (confirmed >= minConfirmed) isConfirmed.abort();
    });
    await Promise.race([Promise.allSettled(sending), aborted(isConfirmed.signal)]);
  }

  #enqueue(members: readonly Member[], origin: UpdateOrigin): void {
    for (const member of members) {
      // A changed record about this process is a refutation, not the record that was received.
      const isOwn = member.instance === this.roster.self.instance;
      if (origin.isBulk && !isOwn) continue;
      const knownBy = new Set(origin.instance === undefined || isOwn ? [] : [origin.instance]);
      this.#pending.set(member.instance, { member, knownBy });
    }
    if (this.#pending.size === 0 || this.#isFlushing) return;
    this.#isFlushing = true;
    runInBackground('gossip', this.#flushLater());
  }

  async #flushLater(): Promise<void> {
    const wait = BATCH_DELAY_MS + this.random.jitter(BATCH_DELAY_MS);
    await this.clock.sleepUntil(this.clock.now() + wait);
    this.#isFlushing = false;
    const items = this.#takePending();
    for (const peer of this.mesh.peers) {
      const members = unknownTo(peer, items);
      if (members.length === 0) continue;
      this.#sent += 1;
      peer.notify(GOSSIP, { members });
    }
  }

  #takePending(): readonly PendingRecord[] {
    const items = [...this.#pending.values()];
    this.#pending = new Map();
    return items;
  }

  #receive(peer: Peer, members: readonly Member[]): void {
    this.#received += 1;
    const instance = peer.member?.instance;
    if (instance === undefined) return;
    for (const member of members) {
      const item = this.#pending.get(member.instance);
      if (item && !isNewer(item.member, member)) item.knownBy.add(instance);
    }
    this.roster.merge(members, { instance });
  }
}

function unknownTo(peer: Peer, items: readonly PendingRecord[]): Member[] {
  const instance = peer.member?.instance ?? '';
  return items.filter(({ knownBy }) => !knownBy.has(instance)).map(({ member }) => member);
}

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}

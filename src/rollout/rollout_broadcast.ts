/** Floods orders, clearances and evidence over the links, and sends them to processes that start. */
import {
  type Evidence,
  type Rollout,
  type VersionClearance,
  type RolloutUpdate,
} from '../contracts.js';
import { type Mesh } from '../distribution/mesh.js';
import { ROLLOUT } from '../distribution/methods.js';
import { type Methods, type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type EvidenceStore, evidenceKey } from './evidence_store.js';
import { type Orders } from './orders.js';

/** Minimum time for which evidence is collected before it is sent, in milliseconds; twice it at most. */
const BATCH_MS = 60;

interface PendingEvidence {
  readonly evidence: Evidence;
  /** The instance that sent it; undefined for own evidence. */
  readonly from: string | undefined;
}

/**
 * A statement that is already known is not sent on, so each crosses a link at most once in each
 * direction. Orders and verdicts are sent at once. A new link starts with everything that is known,
 * so that processes which missed messages catch up.
 */
export class RolloutBroadcast {
  #pending = new Map<string, PendingEvidence>();

  #flushing: Promise<void> | undefined;

  constructor(
    private readonly mesh: Pick<Mesh, 'peers' | 'onOpen'>,
    private readonly orders: Orders,
    private readonly evidenceStore: EvidenceStore,
    private readonly clock: Clock,
    private readonly random: Random,
    methods: Methods,
  ) {
    methods.on(ROLLOUT, (peer, update) => this.#receive(update, peer));
    mesh.onOpen((peer) => {
      if (this.orders.isComplete || this.orders.all().length > 0) peer.notify(ROLLOUT, this.#all());
    });
  }

  /** Merges orders, and sends those that changed to all peers but `from`. */
  addOrders(rollouts: readonly Rollout[], from?: Peer): void {
    this.#send({ rollouts: rollouts.filter((rollout) => this.orders.merge(rollout)) }, from);
  }

  markCleared(clearances: readonly VersionClearance[], from?: Peer): void {
    this.#send(
      { clearances: clearances.filter((clearance) => this.orders.markCleared(clearance)) },
      from,
    );
  }

  /** Records that all orders are known here now, and tells all peers but `from`. */
  markComplete(from?: Peer): void {
    if (this.orders.isComplete) return;
    this.orders.markComplete();
    for (const peer of this.mesh.peers) if (peer !== from) peer.notify(ROLLOUT, updateOf(true, {}));
  }

  addEvidence(evidence: Evidence, from?: string): void {
    if (!this.evidenceStore.merge(evidence)) return;
    this.#pending.set(evidenceKey(evidence), { evidence, from });
    this.#flushing ??= this.#flushLater();
  }

  #receive({ isComplete, rollouts, clearances, evidence }: RolloutUpdate, peer: Peer): void {
    this.addOrders(rollouts, peer);
    this.markCleared(clearances, peer);
    if (isComplete) this.markComplete(peer);
    const from = peer.member?.instance;
    for (const statement of evidence) this.addEvidence(statement, from);
  }

  #send(update: Partial<RolloutUpdate>, from: Peer | undefined): void {
    if ((update.rollouts ?? update.clearances ?? []).length === 0) return;
    for (const peer of this.mesh.peers) {
      if (peer !== from) peer.notify(ROLLOUT, updateOf(this.orders.isComplete, update));
    }
  }

  async #flushLater(): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + BATCH_MS + this.random.jitter(BATCH_MS));
    this.#flushing = undefined;
    const pending = [...this.#pending.values()];
    this.#pending = new Map();
    for (const peer of this.mesh.peers) {
      const instance = peer.member?.instance;
      const evidence = pending.filter(({ from }) => from !== instance).map((item) => item.evidence);
      if (evidence.length > 0) peer.notify(ROLLOUT, updateOf(this.orders.isComplete, { evidence }));
    }
  }

  #all(): RolloutUpdate {
    const { orders, evidenceStore } = this;
    return {
      isComplete: orders.isComplete,
      rollouts: orders.all(),
      clearances: orders.clearances(),
      evidence: evidenceStore.all(),
    };
  }
}

function updateOf(isComplete: boolean, update: Partial<RolloutUpdate>): RolloutUpdate {
  return { isComplete, rollouts: [], clearances: [], evidence: [], ...update };
}

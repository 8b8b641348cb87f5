/** Floods what is known of roll-outs over the links, and tells it to processes that start. */
import {
  type Evidence,
  type Rollout,
  type VersionClearance,
  type RolloutNews,
} from '../contracts.js';
import { type Mesh } from '../distribution/mesh.js';
import { ROLLOUT } from '../distribution/methods.js';
import { type Methods, type Peer } from '../link/peer.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type EvidenceBook, keyOf } from './evidence_book.js';
import { type Orders } from './orders.js';

/** Evidence is gathered for so long at least and as long again at most, in milliseconds. */
const GATHER_MS = 60;

interface Item {
  readonly evidence: Evidence;
  /** The instance that sent it. */
  readonly from: string | undefined;
}

/**
 * Each statement crosses a link once each way at most: what is known already stops there. Orders and
 * verdicts go at once. A link that opens carries all that is known, so that nothing depends on having been there.
 */
export class Spread {
  #items = new Map<string, Item>();

  #flushing: Promise<void> | undefined;

  constructor(
    private readonly mesh: Pick<Mesh, 'peers' | 'onOpen'>,
    private readonly orders: Orders,
    private readonly book: EvidenceBook,
    private readonly clock: Clock,
    private readonly random: Random,
    methods: Methods,
  ) {
    methods.on(ROLLOUT, (peer, news) => this.#take(news, peer));
    mesh.onOpen((peer) => {
      if (this.orders.isComplete || this.orders.all().length > 0) peer.notify(ROLLOUT, this.#all());
    });
  }

  /** Takes over orders, whoever knows them, and tells what was news. */
  order(rollouts: readonly Rollout[], from?: Peer): void {
    this.#tell({ rollouts: rollouts.filter((rollout) => this.orders.merge(rollout)) }, from);
  }

  clear(clearances: readonly VersionClearance[], from?: Peer): void {
    this.#tell(
      { clearances: clearances.filter((clearance) => this.orders.clear(clearance)) },
      from,
    );
  }

  /** All orders are known here now. */
  complete(from?: Peer): void {
    if (this.orders.isComplete) return;
    this.orders.complete();
    for (const peer of this.mesh.peers) if (peer !== from) peer.notify(ROLLOUT, newsOf(true, {}));
  }

  add(evidence: Evidence, from?: string): void {
    if (!this.book.merge(evidence)) return;
    this.#items.set(keyOf(evidence), { evidence, from });
    this.#flushing ??= this.#flushLater();
  }

  #take({ isComplete, rollouts, clearances, evidence }: RolloutNews, peer: Peer): void {
    this.order(rollouts, peer);
    this.clear(clearances, peer);
    if (isComplete) this.complete(peer);
    const from = peer.member?.instance;
    for (const statement of evidence) this.add(statement, from);
  }

  #tell(news: Partial<RolloutNews>, from: Peer | undefined): void {
    if ((news.rollouts ?? news.clearances ?? []).length === 0) return;
    for (const peer of this.mesh.peers) {
      if (peer !== from) peer.notify(ROLLOUT, newsOf(this.orders.isComplete, news));
    }
  }

  async #flushLater(): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + GATHER_MS + this.random.jitter(GATHER_MS));
    this.#flushing = undefined;
    const items = [...this.#items.values()];
    this.#items = new Map();
    for (const peer of this.mesh.peers) {
      const instance = peer.member?.instance;
      const evidence = items.filter(({ from }) => from !== instance).map((item) => item.evidence);
      if (evidence.length > 0) peer.notify(ROLLOUT, newsOf(this.orders.isComplete, { evidence }));
    }
  }

  #all(): RolloutNews {
    const { orders, book } = this;
    return {
      isComplete: orders.isComplete,
      rollouts: orders.all(),
      clearances: orders.clearances(),
      evidence: book.all(),
    };
  }
}

function newsOf(isComplete: boolean, news: Partial<RolloutNews>): RolloutNews {
  return { isComplete, rollouts: [], clearances: [], evidence: [], ...news };
}

import { expect } from 'chai';
import { type Rollout } from '../../contracts.js';
import { Ranking } from '../../membership/ranking.js';
import { Roster } from '../../membership/roster.js';
import { EvidenceStore } from '../../rollout/evidence_store.js';
import { Judge } from '../../rollout/judge.js';
import { OrderReader } from '../../rollout/order_reader.js';
import { type OrderList, OrderSource } from '../../rollout/order_source.js';
import { Orders } from '../../rollout/orders.js';
import { RolloutBroadcast } from '../../rollout/rollout_broadcast.js';
import { Methods } from '../../link/peer.js';
import { SeededRandom } from '../../runtime/random.js';
import { FakeTime } from '../fake_time.js';
import { MemoryLog } from '../logs/memory_log.js';
import { memberOf } from '../membership/member.js';
import { orderOf } from './order.js';

const FANOUT = 8;

/** Fails its first calls with an answer that can't be parsed. */
class UnreadableSource extends OrderSource {
  calls = 0;

  constructor(private readonly unreadable: number) {
    super();
  }

  async list(): Promise<OrderList> {
    this.calls += 1;
    if (this.calls <= this.unreadable) throw new SyntaxError('Unexpected token < in JSON');
    return { rollouts: [orderOf({ isNoted: true })], revision: 5 };
  }

  follow(_: number, signal: AbortSignal): Promise<OrderList> {
    return new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve({ rollouts: [], revision: 5 }));
    });
  }

  async writeOutcome(): Promise<boolean> {
    return true;
  }
}

describe('OrderReader', () => {
  // Guards against a process that ends because the platform answered with something else than orders.
  it('logs an unreadable answer of the platform, and continues', async () => {
    using time = new FakeTime();
    const { clock } = time;
    const random = new SeededRandom(3);
    const log = new MemoryLog('debug');
    const orders = new Orders();
    const evidenceStore = new EvidenceStore();
    const mesh = { peers: [], onOpen: () => {} };
    const broadcast = new RolloutBroadcast(
      mesh,
      orders,
      evidenceStore,
      clock,
      random,
      new Methods(),
    );
    const judge = new Judge(orders, evidenceStore, broadcast, clock, log);
    const ranking = new Ranking(new Roster(memberOf('self')), FANOUT);
    const source = new UnreadableSource(3);
    const knownVersions = { newcomers: [] };
    const reader = new OrderReader(
      source,
      orders,
      broadcast,
      judge,
      knownVersions,
      ranking,
      clock,
      random,
      log,
    );
    const stopping = new AbortController();
    const running = reader.run(stopping.signal);
    await time.until(() => orders.isComplete, 20_000);
    stopping.abort();
    await time.advance(2_000);
    await running;
    const known: Rollout | undefined = orders.of('listings');
    const said = log.events.filter(({ event }) => event === 'orders-unread').length;
    expect([known?.version, said, source.calls]).to.deep.equal(['v2', 3, 4]);
  });
});

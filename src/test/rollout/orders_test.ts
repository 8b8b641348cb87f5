import { expect } from 'chai';
import * as fc from 'fast-check';
import { type Rollout, RolloutPhase } from '../../contracts.js';
import { Orders } from '../../rollout/orders.js';
import { orderOf } from './order.js';

const SEED = 21;

const statement = fc.record({
  version: fc.constantFrom('v2', 'v3'),
  orderedAt: fc.integer({ min: 5, max: 6 }),
  revision: fc.integer({ min: 6, max: 12 }),
  phase: fc.constantFrom(...RolloutPhase.options),
  isNoted: fc.boolean(),
  isDeleted: fc.boolean(),
});

/** An object is overwritten for another version at a revision above all those of the former version. */
function isPossible(statements: readonly Rollout[]): boolean {
  return [5, 6].every((orderedAt) => {
    const of = (version: string) =>
      statements
        .filter((one) => one.orderedAt === orderedAt && one.version === version)
        .map(({ revision }) => revision);
    return Math.max(...of('v2')) < Math.min(...of('v3'));
  });
}

function merged(statements: readonly Rollout[]) {
  const orders = new Orders();
  for (const one of statements) orders.merge(one);
  return orders.of('listings');
}

describe('Orders', () => {
  it('merge to the same state regardless of the order and repetition of messages', () => {
    const histories = fc
      .array(statement, { minLength: 1, maxLength: 8 })
      .map((changes) => changes.map(orderOf))
      .filter(isPossible);
    const shuffled = histories.chain((news) =>
      fc.tuple(
        fc.constant(news),
        fc.shuffledSubarray([...news, ...news], { minLength: 2 * news.length }),
      ),
    );
    fc.assert(
      fc.property(shuffled, ([news, again]) => {
        expect(merged(again)).to.deep.equal(merged(news));
      }),
      { seed: SEED },
    );
  });

  // Guards against a verdict that is reverted by a process that missed it or gets it late.
  it('never revert a verdict', () => {
    const orders = new Orders();
    orders.merge(orderOf({ phase: 'withdrawn' }));
    for (const phase of ['trial', 'proof', 'promoting'] as const) {
      expect(orders.merge(orderOf({ phase, revision: 9 }))).to.equal(phase === 'trial');
      expect(orders.of('listings')?.phase).to.equal('withdrawn');
    }
  });

  // Guards against the verdict on an order being applied to the next one of the same upstream.
  it('start over with a newer order, and ignore statements on an older one', () => {
    const orders = new Orders();
    orders.merge(orderOf({ phase: 'rolled-back', revision: 9 }));
    orders.merge(orderOf({ version: 'v3', revision: 11 }));
    orders.merge(orderOf({ phase: 'completed', revision: 9 }));
    expect(orders.of('listings')).to.include({ version: 'v3', phase: 'trial' });
    orders.merge(orderOf({ orderedAt: 20, revision: 20 }));
    expect(orders.of('listings')).to.include({ version: 'v2', phase: 'trial' });
  });

  // Guards against old versions accumulating in every process, and in its messages to new ones.
  it('keep a bounded number of versions without an order', () => {
    const orders = new Orders();
    for (let revision = 1; revision <= 5_000; revision++) {
      orders.markCleared({ upstream: 'listings', version: `v${revision}`, revision });
    }
    expect(orders.clearances().length).to.be.at.most(1_000);
    expect(orders.clearedAt('listings', 'v5000')).to.equal(5_000);
  });
});

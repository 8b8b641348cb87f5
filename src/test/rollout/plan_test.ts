import { expect } from 'chai';
import { type RolloutPhase } from '../../contracts.js';
import { Roster } from '../../membership/roster.js';
import { Orders } from '../../rollout/orders.js';
import { Plan } from '../../rollout/plan.js';
import { type Role } from '../../placement/cohorts.js';
import { FakeTime } from '../fake_time.js';
import { memberOf } from '../membership/member.js';
import { orderOf } from './order.js';

const LATER_MS = 3_000;

class World implements Disposable {
  readonly time = new FakeTime();

  readonly roster = new Roster(memberOf('self'));

  readonly orders = new Orders();

  readonly plan = new Plan(this.orders, this.roster, this.time.clock, 0.1);

  constructor() {
    this.orders.complete();
  }

  /** Endpoints of versions appear. */
  meet(...versions: string[]): void {
    const members = versions.map((version) =>
      memberOf(`beside-${version}`, {
        endpoint: { upstream: 'listings', state: 'ready', slots: 6, version },
      }),
    );
    this.roster.merge(members);
  }

  roles(): Record<string, Role> {
    const roleOf = (version: string | undefined) => this.plan.roleOf('listings', version);
    return { v1: roleOf('v1'), v2: roleOf('v2'), unknown: roleOf(undefined) };
  }

  [Symbol.dispose](): void {
    this.time[Symbol.dispose]();
  }
}

describe('Plan', () => {
  it('gives both versions their roles in each phase', () => {
    const phases: RolloutPhase[] = ['trial', 'proof', 'promoting', 'withdrawn', 'rolled-back'];
    const rolesIn = (phase: RolloutPhase) => {
      using world = new World();
      world.meet('v1', 'v2');
      world.orders.merge(orderOf({ phase }));
      return world.roles();
    };
    const roles = [...phases, 'completed' as const].map((phase) => [phase, rolesIn(phase)]);
    expect(Object.fromEntries(roles)).toMatchSnapshot();
  });

  // Guards against the endpoints of an order that no reader has seen yet getting their full share.
  it('holds back a version that appears later, until it is known that nobody ordered it', async () => {
    using world = new World();
    world.meet('v1');
    await world.time.advance(LATER_MS);
    world.meet('v2');
    const before = world.roles().v2;
    const { newcomers } = world.plan;
    world.orders.clear({ upstream: 'listings', version: 'v2', revision: 7 });
    const cleared = world.roles().v2;
    world.orders.merge(orderOf({ orderedAt: 9, revision: 9 }));
    expect({ before, newcomers, cleared, ordered: world.roles().v2 }).toMatchSnapshot();
  });

  // Guards against a fleet that restarts in the middle of a roll-out giving the new version its full share.
  it('takes the version with the lower number for the old one until orders are known', () => {
    using time = new FakeTime();
    const roster = new Roster(memberOf('self'));
    const plan = new Plan(new Orders(), roster, time.clock, 0.1);
    const versions = ['v9', 'v10'];
    roster.merge(
      versions.map((version) =>
        memberOf(version, {
          endpoint: { upstream: 'listings', state: 'ready', slots: 6, version },
        }),
      ),
    );
    const roles = versions.map((version) => plan.roleOf('listings', version));
    expect(roles).to.deep.equal(['stable', 'held']);
  });
});

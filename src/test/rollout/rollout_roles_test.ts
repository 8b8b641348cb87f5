import { expect } from 'chai';
import { type RolloutPhase } from '../../contracts.js';
import { Roster } from '../../membership/roster.js';
import { Orders } from '../../rollout/orders.js';
import { RolloutRoles } from '../../rollout/rollout_roles.js';
import { type Role } from '../../placement/version_roles.js';
import { FakeTime } from '../fake_time.js';
import { memberOf } from '../membership/member.js';
import { orderOf } from './order.js';

const LATER_MS = 3_000;

class Fixture implements Disposable {
  readonly time = new FakeTime();

  readonly roster = new Roster(memberOf('self'));

  readonly orders = new Orders();

  readonly rolloutRoles = new RolloutRoles(this.orders, this.roster, this.time.clock, 0.1);

  constructor() {
    this.orders.markComplete();
  }

  /** Adds an endpoint of each version to the roster. */
  addEndpoints(...versions: string[]): void {
    const members = versions.map((version) =>
      memberOf(`beside-${version}`, {
        endpoint: { upstream: 'listings', state: 'ready', slots: 6, version },
      }),
    );
    this.roster.merge(members);
  }

  roles(): Record<string, Role> {
    const roleOf = (version: string | undefined) => this.rolloutRoles.roleOf('listings', version);
    return { v1: roleOf('v1'), v2: roleOf('v2'), unknown: roleOf(undefined) };
  }

  [Symbol.dispose](): void {
    this.time[Symbol.dispose]();
  }
}

describe('RolloutRoles', () => {
  it('assigns the roles of both versions in each phase', () => {
    const phases: RolloutPhase[] = ['trial', 'proof', 'promoting', 'withdrawn', 'rolled-back'];
    const rolesIn = (phase: RolloutPhase) => {
      using world = new Fixture();
      world.addEndpoints('v1', 'v2');
      world.orders.merge(orderOf({ phase }));
      return world.roles();
    };
    const roles = [...phases, 'completed' as const].map((phase) => [phase, rolesIn(phase)]);
    expect(Object.fromEntries(roles)).toMatchSnapshot();
  });

  // Guards against endpoints getting their full share before their order has been read.
  it('holds a later version back until its order is known or found to be missing', async () => {
    using world = new Fixture();
    world.addEndpoints('v1');
    await world.time.advance(LATER_MS);
    world.addEndpoints('v2');
    const before = world.roles().v2;
    const { newcomers } = world.rolloutRoles;
    world.orders.markCleared({ upstream: 'listings', version: 'v2', revision: 7 });
    const cleared = world.roles().v2;
    world.orders.merge(orderOf({ orderedAt: 9, revision: 9 }));
    expect({
      before,
      newcomers,
      cleared,
      ordered: world.roles().v2,
    }).toMatchSnapshot();
  });

  // Guards against the new version getting its full share when the fleet restarts during a rollout.
  it('takes the lower version for the old one until the orders are known', () => {
    using time = new FakeTime();
    const roster = new Roster(memberOf('self'));
    const rolloutRoles = new RolloutRoles(new Orders(), roster, time.clock, 0.1);
    const versions = ['v9', 'v10'];
    roster.merge(
      versions.map((version) =>
        memberOf(version, {
          endpoint: { upstream: 'listings', state: 'ready', slots: 6, version },
        }),
      ),
    );
    const roles = versions.map((version) => rolloutRoles.roleOf('listings', version));
    expect(roles).to.deep.equal(['stable', 'held']);
  });
});

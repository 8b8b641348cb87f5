import { expect } from 'chai';
import { HttpPlatform } from '../../platform/http_platform.js';
import { ObjectOrders } from '../../platform/object_orders.js';
import { MachineClock } from '../../runtime/clock.js';
import { Ownership } from '../../runtime/ownership.js';
import { PlatformServer } from '../../standins/platform_server.js';

const KEY = 'rollouts/listings';
const CALL_MS = 2_000;
const NEVER = new AbortController().signal;

class World implements AsyncDisposable {
  readonly clock = new MachineClock();

  readonly #owned = new Ownership();

  private constructor(readonly server: PlatformServer) {
    this.#owned.use(server);
  }

  static async start(): Promise<World> {
    return new World(await PlatformServer.start(new MachineClock()));
  }

  get deadline(): number {
    return this.clock.now() + CALL_MS;
  }

  orders(): ObjectOrders {
    return new ObjectOrders(this.#owned.use(new HttpPlatform(this.server.url, this.clock)));
  }

  async order(spec: unknown, key = KEY): Promise<void> {
    const { store } = this.server;
    const before = await store.get(key, this.deadline);
    const value = JSON.stringify(spec);
    if (before) await store.update(key, value, before.revision, this.deadline);
    else await store.create(key, value, this.deadline);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }
}

const order = (targetVersion: string) => ({ service: 'listings', targetVersion, duration: '12s' });

describe('ObjectOrders', () => {
  it('reads orders, passes over what is none, and says what became of them', async () => {
    await using world = await World.start();
    const orders = world.orders();
    await world.order(order('v2'));
    await world.order({ service: 7 }, 'rollouts/odd');
    // Neighbours would refuse whatever else is told together with a name that they cannot read.
    await world.order({ ...order('v2'), service: 'No Name' }, 'rollouts/unnamed');
    const { rollouts } = await orders.list(world.deadline);
    const [first] = rollouts;
    const isNoted = await orders.conclude(first!, world.deadline);
    const running = await orders.follow(world.deadline, NEVER);
    const promoted = { ...running.rollouts[0]!, phase: 'promoting' as const };
    const isCompleted = await orders.conclude(promoted, world.deadline);
    const completed = await orders.follow(world.deadline, NEVER);
    const { status } = (await world.server.store.get(KEY, world.deadline))!;
    expect({ rollouts, isNoted, running, isCompleted, completed, status }).toMatchSnapshot();
  });

  // Guards against two processes that have come to different verdicts both being believed.
  it('says nothing where the order has changed since it was read', async () => {
    await using world = await World.start();
    const orders = world.orders();
    await world.order(order('v2'));
    const [read] = (await orders.list(world.deadline)).rollouts;
    await orders.conclude({ ...read!, phase: 'withdrawn' }, world.deadline);
    const isWritten = await orders.conclude({ ...read!, phase: 'promoting' }, world.deadline);
    const [now] = (await orders.list(world.deadline)).rollouts;
    expect({ isWritten, phase: now!.phase }).to.deep.equal({
      isWritten: false,
      phase: 'rolled-back',
    });
  });

  // Guards against the word on one version being taken for the word on the next.
  it('takes an order that was written over for a new one, and one taken back for withdrawn', async () => {
    await using world = await World.start();
    const orders = world.orders();
    await world.order(order('v2'));
    const [old] = (await orders.list(world.deadline)).rollouts;
    await orders.conclude({ ...old!, phase: 'withdrawn' }, world.deadline);
    await world.order(order('v3'));
    const [renewed] = (await orders.list(world.deadline)).rollouts;
    const { store } = world.server;
    const { revision } = (await store.get(KEY, world.deadline))!;
    await store.remove(KEY, revision, world.deadline);
    const [deleted] = (await orders.follow(world.deadline, NEVER)).rollouts;
    const told = ({ version, phase, isDeleted }: typeof renewed & object) => ({
      version,
      phase,
      isDeleted,
    });
    expect([told(renewed!), told(deleted!)]).to.deep.equal([
      { version: 'v3', phase: 'trial', isDeleted: false },
      { version: 'v3', phase: 'withdrawn', isDeleted: true },
    ]);
  });
});

import { expect } from 'chai';
import { HttpPlatform } from '../../platform/http_platform.js';
import { ObjectOrders } from '../../platform/object_orders.js';
import { MachineClock } from '../../runtime/clock.js';
import { ResourceStack } from '../../runtime/resource_stack.js';
import { PlatformServer } from '../../standins/platform_server.js';

const KEY = 'rollouts/listings';
const CALL_TIMEOUT_MS = 2_000;
const NEVER_ABORTED = new AbortController().signal;

class Fixture implements AsyncDisposable {
  readonly clock = new MachineClock();

  readonly #owned = new ResourceStack();

  private constructor(readonly server: PlatformServer) {
    this.#owned.use(server);
  }

  static async start(): Promise<Fixture> {
    return new Fixture(await PlatformServer.start(new MachineClock()));
  }

  get deadline(): number {
    return this.clock.now() + CALL_TIMEOUT_MS;
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
  it('reads orders, ignores invalid ones, and writes their status', async () => {
    await using fixture = await Fixture.start();
    const orders = fixture.orders();
    await fixture.order(order('v2'));
    await fixture.order({ service: 7 }, 'rollouts/odd');
    // Neighbours would refuse a whole message that contains an invalid name.
    await fixture.order({ ...order('v2'), service: 'No\nName' }, 'rollouts/unnamed');
    const { rollouts } = await orders.list(fixture.deadline);
    const [first] = rollouts;
    const isNoted = await orders.writeOutcome(first!, fixture.deadline);
    const running = await orders.follow(fixture.deadline, NEVER_ABORTED);
    const promoted = { ...running.rollouts[0]!, phase: 'promoting' as const };
    const isCompleted = await orders.writeOutcome(promoted, fixture.deadline);
    const completed = await orders.follow(fixture.deadline, NEVER_ABORTED);
    const { status } = (await fixture.server.store.get(KEY, fixture.deadline))!;
    expect({ rollouts, isNoted, running, isCompleted, completed, status }).toMatchSnapshot();
  });

  // Guards against two processes with different verdicts that both write theirs.
  it('does not write the status of an order that has changed since it was read', async () => {
    await using fixture = await Fixture.start();
    const orders = fixture.orders();
    await fixture.order(order('v2'));
    const [read] = (await orders.list(fixture.deadline)).rollouts;
    await orders.writeOutcome({ ...read!, phase: 'withdrawn' }, fixture.deadline);
    const isWritten = await orders.writeOutcome({ ...read!, phase: 'promoting' }, fixture.deadline);
    const [now] = (await orders.list(fixture.deadline)).rollouts;
    expect({ isWritten, phase: now!.phase }).to.deep.equal({
      isWritten: false,
      phase: 'rolled-back',
    });
  });

  // Guards against the status of one version being taken for that of the next.
  it('treats an overwritten order as a new one, and a deleted one as withdrawn', async () => {
    await using fixture = await Fixture.start();
    const orders = fixture.orders();
    await fixture.order(order('v2'));
    const [old] = (await orders.list(fixture.deadline)).rollouts;
    await orders.writeOutcome({ ...old!, phase: 'withdrawn' }, fixture.deadline);
    await fixture.order(order('v3'));
    const [renewed] = (await orders.list(fixture.deadline)).rollouts;
    const { store } = fixture.server;
    const { revision } = (await store.get(KEY, fixture.deadline))!;
    await store.remove(KEY, revision, fixture.deadline);
    const [deleted] = (await orders.follow(fixture.deadline, NEVER_ABORTED)).rollouts;
    const summaryOf = ({ version, phase, isDeleted }: typeof renewed & object) => ({
      version,
      phase,
      isDeleted,
    });
    expect([summaryOf(renewed!), summaryOf(deleted!)]).to.deep.equal([
      { version: 'v3', phase: 'trial', isDeleted: false },
      { version: 'v3', phase: 'withdrawn', isDeleted: true },
    ]);
  });
});

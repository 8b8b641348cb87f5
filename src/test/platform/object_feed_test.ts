import { expect } from 'chai';
import { Replica } from '../../distribution/replica.js';
import { HttpPlatform } from '../../platform/http_platform.js';
import { ObjectFeed } from '../../platform/object_feed.js';
import { Reader } from '../../distribution/reader.js';
import { PROMPT } from '../../membership/pace.js';
import { MachineClock } from '../../runtime/clock.js';
import { SeededRandom } from '../../runtime/random.js';
import { ResourceStack } from '../../runtime/resource_stack.js';
import { PlatformServer } from '../../standins/platform_server.js';
import { PlatformStore } from '../../standins/platform_store.js';
import { soleReader } from '../../standins/sole_reader.js';
import { FakeTime } from '../fake_time.js';

const KEY = 'config/main';
const CALL_TIMEOUT_MS = 2_000;

function configuration(number: number, routes: readonly string[]): string {
  const entries = routes.map((name) => [
    name,
    {
      host: 'a.example',
      pathPrefix: `/${name}/`,
      kind: 'safe',
      timeout: '1s',
      targetLatency: '500ms',
      priority: 0,
      maxAttempts: 2,
      service: 'listings',
    },
  ]);
  return JSON.stringify({
    version: `r${number}`,
    routes: Object.fromEntries(entries),
    services: { listings: {} },
  });
}

class Fixture implements AsyncDisposable {
  readonly clock = new MachineClock();

  readonly #owned = new ResourceStack();

  private constructor(readonly server: PlatformServer) {
    this.#owned.use(server);
  }

  static async start(): Promise<Fixture> {
    return new Fixture(await PlatformServer.start(new MachineClock()));
  }

  reader(): { replica: Replica; feed: ObjectFeed } {
    const platform = this.#owned.use(new HttpPlatform(this.server.url, this.clock));
    const replica = new Replica();
    return { replica, feed: new ObjectFeed(platform, replica, this.clock) };
  }

  async write(number: number, routes: readonly string[]): Promise<void> {
    const { store } = this.server;
    const before = await store.get(KEY, this.deadline);
    const value = configuration(number, routes);
    if (before) await store.update(KEY, value, before.revision, this.deadline);
    else await store.create(KEY, value, this.deadline);
  }

  get deadline(): number {
    return this.clock.now() + CALL_TIMEOUT_MS;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }
}

const NEVER_ABORTED = new AbortController().signal;

describe('ObjectFeed', () => {
  // A process starts before the operator has written a configuration. If it took an empty one for
  // the accepted one, it would answer 404 instead of reporting that it is not ready.
  it('fails as long as there is no configuration', async () => {
    await using fixture = await Fixture.start();
    const { replica, feed } = fixture.reader();
    const failure = await feed.catchUp(fixture.deadline).catch(({ reason }) => reason as string);
    expect([failure, replica.current.number]).to.deep.equal(['absent', 0]);
  });

  // The store holds only the latest version, so two readers see different ones. Their digests must
  // agree all the same, or each would refuse the changes that the other passes on.
  it('brings readers that skipped different versions to the same digest', async () => {
    await using fixture = await Fixture.start();
    await fixture.write(5, ['menus']);
    const [one, other] = [fixture.reader(), fixture.reader()];
    await one.feed.catchUp(fixture.deadline);
    await fixture.write(9, ['menus', 'seats']);
    await one.feed.follow(fixture.deadline, NEVER_ABORTED);
    await fixture.write(12, ['seats']);
    await one.feed.follow(fixture.deadline, NEVER_ABORTED);
    await other.feed.catchUp(fixture.deadline);
    const held = [one, other].map(({ replica }) => [
      replica.current.number,
      replica.current.digest,
    ]);
    expect(held[0]).to.deep.equal(held[1]);
    expect(held[0]![0]).to.equal(12);
  });

  // The store drops its history while a reader is disconnected. The reader must read the whole
  // object again, or it would wait for changes that the store no longer has.
  it('reads the whole object again when the history is gone', async () => {
    await using fixture = await Fixture.start();
    await fixture.write(5, ['menus']);
    const { replica, feed } = fixture.reader();
    await feed.catchUp(fixture.deadline);
    await fixture.write(9, ['seats']);
    fixture.server.store.compact();
    const failure = await feed
      .follow(fixture.deadline, NEVER_ABORTED)
      .catch(({ reason }) => reason as string);
    await feed.follow(fixture.deadline, NEVER_ABORTED);
    expect([failure, replica.current.number]).to.deep.equal(['history-gone', 9]);
  });

  // A delayed answer contains an older version than the current one: it must not be applied.
  it('never applies an older version', async () => {
    await using fixture = await Fixture.start();
    await fixture.write(9, ['menus']);
    const { replica, feed } = fixture.reader();
    await feed.catchUp(fixture.deadline);
    await fixture.write(5, ['seats']);
    await feed.follow(fixture.deadline, NEVER_ABORTED);
    expect(replica.current.number).to.equal(9);
  });

  // Guards against a reader that waits up to half a minute after a version that it refused, while
  // the operator has corrected it long ago.
  for (const [when, number] of [
    ['while it follows', 5],
    ['when it starts', 0],
  ] as const) {
    it(`applies a corrected version at once after one that was refused ${when}`, async () => {
      using time = new FakeTime();
      const { clock } = time;
      const store = new PlatformStore(clock);
      const write = async (value: string) => {
        const { revision = 0 } = (await store.get(KEY, clock.now())) ?? {};
        if (revision > 0) await store.update(KEY, value, revision, clock.now());
        else await store.create(KEY, value, clock.now());
      };
      const replica = new Replica();
      const feed = new ObjectFeed(store, replica, clock);
      const role = soleReader(clock);
      const reader = new Reader(feed, replica, role, clock, new SeededRandom(1), PROMPT);
      const stopping = new AbortController();
      if (number > 0) await write(configuration(number, ['menus']));
      else await write('{"version":"r1"}');
      const running = reader.run(stopping.signal);
      await time.advance(1_000);
      for (const invalid of ['{"version":"r7"}', '{"version":"r8"}']) {
        await write(invalid);
        await time.advance(1_000);
      }
      expect([replica.current.number, replica.refusal?.reason]).to.deep.equal([
        number,
        'unreadable',
      ]);
      const callsBefore = store.calls.reads + store.calls.watches;
      await time.advance(10_000);
      expect(store.calls.reads + store.calls.watches - callsBefore).to.be.at.most(5);
      await write(configuration(12, ['menus']));
      await time.advance(100);
      expect([replica.current.number, replica.refusal]).to.deep.equal([12, undefined]);
      stopping.abort();
      await time.advance(5_000);
      await running;
    });
  }

  it('gives a neighbour the changes since a version that both have had', async () => {
    await using fixture = await Fixture.start();
    await fixture.write(5, ['menus']);
    const { replica, feed } = fixture.reader();
    await feed.catchUp(fixture.deadline);
    const neighbour = new Replica();
    neighbour.install(replica.snapshot());
    await fixture.write(12, ['menus', 'seats']);
    await feed.follow(fixture.deadline, NEVER_ABORTED);
    expect(neighbour.apply(replica.since(5)!)).to.equal(true);
    expect(neighbour.current.digest).to.equal(replica.current.digest);
    expect(replica.since(7)).to.equal(undefined);
  });
});

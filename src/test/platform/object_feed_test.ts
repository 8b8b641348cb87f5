import { expect } from 'chai';
import { Replica } from '../../distribution/replica.js';
import { HttpPlatform } from '../../platform/http_platform.js';
import { ObjectFeed } from '../../platform/object_feed.js';
import { MachineClock } from '../../runtime/clock.js';
import { Ownership } from '../../runtime/ownership.js';
import { PlatformServer } from '../../standins/platform_server.js';

const KEY = 'config/main';
const CALL_MS = 2_000;

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

class World implements AsyncDisposable {
  readonly clock = new MachineClock();

  readonly #owned = new Ownership();

  private constructor(readonly server: PlatformServer) {
    this.#owned.use(server);
  }

  static async start(): Promise<World> {
    return new World(await PlatformServer.start(new MachineClock()));
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
    return this.clock.now() + CALL_MS;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }
}

const NEVER = new AbortController().signal;

describe('ObjectFeed', () => {
  // A process starts before the operator has written anything. It must not take an empty
  // configuration for the accepted one: it would answer 404 where it has to say "not yet".
  it('fails as long as there is no configuration', async () => {
    await using world = await World.start();
    const { replica, feed } = world.reader();
    const failure = await feed.catchUp(world.deadline).catch(({ reason }) => reason as string);
    expect([failure, replica.current.number]).to.deep.equal(['absent', 0]);
  });

  // Two readers see different versions of a storm, since the store holds but the newest. The
  // digests that they come to must agree, or each would refuse what the other passes on.
  it('brings readers that skipped different versions to the same digest', async () => {
    await using world = await World.start();
    await world.write(5, ['menus']);
    const [one, other] = [world.reader(), world.reader()];
    await one.feed.catchUp(world.deadline);
    await world.write(9, ['menus', 'seats']);
    await one.feed.follow(world.deadline, NEVER);
    await world.write(12, ['seats']);
    await one.feed.follow(world.deadline, NEVER);
    await other.feed.catchUp(world.deadline);
    const held = [one, other].map(({ replica }) => [
      replica.current.number,
      replica.current.digest,
    ]);
    expect(held[0]).to.deep.equal(held[1]);
    expect(held[0]![0]).to.equal(12);
  });

  // The store drops its history while a reader is away. The watch fails, and the reader begins
  // again with the whole object, instead of waiting for changes that it will not be told of.
  it('reads the whole object again when the history is gone', async () => {
    await using world = await World.start();
    await world.write(5, ['menus']);
    const { replica, feed } = world.reader();
    await feed.catchUp(world.deadline);
    await world.write(9, ['seats']);
    world.server.store.compact();
    const failure = await feed
      .follow(world.deadline, NEVER)
      .catch(({ reason }) => reason as string);
    await feed.follow(world.deadline, NEVER);
    expect([failure, replica.current.number]).to.deep.equal(['history-gone', 9]);
  });

  // An answer that was held up brings an older version than the one in force. Nothing goes back.
  it('never goes back', async () => {
    await using world = await World.start();
    await world.write(9, ['menus']);
    const { replica, feed } = world.reader();
    await feed.catchUp(world.deadline);
    await world.write(5, ['seats']);
    await feed.follow(world.deadline, NEVER);
    expect(replica.current.number).to.equal(9);
  });

  it('is fed further by a neighbour that skipped other versions', async () => {
    await using world = await World.start();
    await world.write(5, ['menus']);
    const { replica, feed } = world.reader();
    await feed.catchUp(world.deadline);
    const neighbour = new Replica();
    neighbour.install(replica.snapshot());
    await world.write(12, ['menus', 'seats']);
    await feed.follow(world.deadline, NEVER);
    expect(neighbour.apply(replica.since(5)!)).to.equal(true);
    expect(neighbour.current.digest).to.equal(replica.current.digest);
    expect(replica.since(7)).to.equal(undefined);
  });
});

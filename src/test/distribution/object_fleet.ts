/** A fleet whose processes read the operator's object, as on the platform. */
import { PROMPT } from '../../membership/pace.js';
import { ObjectFeed } from '../../platform/object_feed.js';
import { type InterruptiblePlatform } from '../../standins/interruptible_platform.js';
import { type Node, TestFleet } from './test_fleet.js';

/** As on the platform. */
const HEARTBEAT_MS = 500;
const KEY = 'config/main';
/** Time from the acknowledgement of a version until it has to be in force, in milliseconds. */
export const APPLY_MS = 2_000;

export class ObjectFleet implements AsyncDisposable {
  /** Names of processes that stand still. */
  readonly frozen = new Set<string>();

  #number = 0;

  private constructor(
    readonly fleet: TestFleet,
    readonly platforms: ReadonlyMap<string, InterruptiblePlatform>,
  ) {}

  static async start(seed: number, sizes: Readonly<Record<string, number>>, fanout = 2) {
    const platforms = new Map<string, InterruptiblePlatform>();
    const fleet = await TestFleet.start({
      sizes,
      fanout,
      seed,
      pace: PROMPT,
      heartbeatMs: HEARTBEAT_MS,
      feed: (replica, clock, _, platform) => new ObjectFeed(platform, replica, clock),
      onLaunch: ({ name }, platform) => platforms.set(name, platform as InterruptiblePlatform),
    });
    const started = new ObjectFleet(fleet, platforms);
    await started.write();
    await fleet.time.advance(APPLY_MS + 1_000);
    return started;
  }

  /** Number of the newest version. */
  get version(): number {
    return this.#number;
  }

  async write(): Promise<void> {
    const { platform, clock } = this.fleet;
    this.#number += 1;
    const value = JSON.stringify({ version: `r${this.#number}`, routes: {}, services: {} });
    const stored = await platform.get(KEY, clock.now());
    if (stored) await platform.update(KEY, value, stored.revision, clock.now());
    else await platform.create(KEY, value, clock.now());
  }

  get readers(): Node[] {
    return this.fleet.alive.filter(({ control }) => control.ranking.isReader);
  }

  get callCount(): number {
    return [...this.platforms.values()].reduce((sum, { calls }) => sum + calls, 0);
  }

  /** Names of processes that run, are in touch with the store and do not hold the newest version. */
  get behind(): string[] {
    return this.fleet.alive
      .filter(({ name }) => !this.fleet.cutOff.has(name) && !this.frozen.has(name))
      .filter(({ control }) => control.replica.current.number < this.#number)
      .map(({ name }) => name);
  }

  turnAway(names: readonly string[]): void {
    this.fleet.cutOff.clear();
    names.forEach((name) => this.fleet.cutOff.add(name));
  }

  /** Lets processes stand still; their links stay open. */
  freeze(nodes: readonly Node[]): void {
    for (const { name, host } of nodes) {
      this.frozen.add(name);
      host.gate.shut();
    }
  }

  thaw(): void {
    for (const name of this.frozen) this.fleet.nodes.get(name)!.host.gate.open();
    this.frozen.clear();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.fleet[Symbol.asyncDispose]();
  }
}

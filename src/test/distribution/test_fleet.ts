import { Configuration } from '../../configuration/configuration.js';
import { digestOf } from '../../configuration/digest.js';
import { type Change, Route, Upstream, type Version, type VersionRecord } from '../../contracts.js';
import { Control } from '../../daemon/control.js';
import { Dialer } from '../../distribution/dialer.js';
import { type Feed } from '../../distribution/feed.js';
import { ConvergenceProfile, type Profile } from '../../distribution/profile.js';
import { type Replica } from '../../distribution/replica.js';
import { type Codec, MsgpackCodec } from '../../link/codec.js';
import { type Link } from '../../link/link.js';
import { type Pace } from '../../membership/pace.js';
import { type Clock } from '../../runtime/clock.js';
import { type Platform } from '../../platform/platform.js';
import { type Random, SeededRandom } from '../../runtime/random.js';
import { Gate, GatedClock } from '../../standins/gate.js';
import { BandwidthLimiter } from '../../standins/bandwidth_limiter.js';
import { type Host, MemoryNetwork } from '../../standins/memory_network.js';
import { PlatformStore } from '../../standins/platform_store.js';
import { InterruptiblePlatform } from '../../standins/interruptible_platform.js';
import { VersionLog } from '../../source/log.js';
import { logFeed } from '../../source/log_feed.js';
import { FakeTime } from '../fake_time.js';

/** A process of the fleet. It can be killed and launched again under the same name. */
export interface Node {
  readonly name: string;
  readonly host: Host;
  readonly control: Control;
  isAlive: boolean;
}

/** Changes what a process receives into what its release would read. */
export interface OtherRelease {
  readonly link: (link: Link) => Link;
  readonly platform: (platform: Platform) => Platform;
}

export interface FleetOptions {
  /** Number of processes by name of data centre. */
  readonly sizes: Readonly<Record<string, number>>;
  readonly profile?: Profile;
  readonly fanout?: number;
  readonly seed?: number;
  readonly codec?: Codec;
  /**
   * Source of versions instead of the log. `isCut` tells whether the process is disconnected from
   * it.
   */
  readonly feed?: (
    replica: Replica,
    clock: Clock,
    isCut: () => boolean,
    platform: Platform,
  ) => Feed;
  readonly pace?: Pace;
  readonly heartbeatMs?: number;
  /** Bandwidth of each machine's network link in kbit/s; unlimited when absent. */
  readonly linkKbps?: number;
  /** What a process of another release reads of messages and values, by the name of the process. */
  readonly releaseOf?: (name: string) => OtherRelease | undefined;
  /** Called with each process before it starts, with its platform and clock. */
  readonly onLaunch?: (node: Node, platform: Platform, clock: Clock) => void;
}

const SETTLE_MS = 8_000;
const HEARTBEAT_MS = 1_000;

/** Processes with in-memory links and one shared platform stand-in, under fake timers. */
export class TestFleet implements AsyncDisposable {
  readonly time = new FakeTime();

  readonly clock: Clock = this.time.clock;

  readonly random: Random;

  readonly platform = new PlatformStore(this.clock);

  readonly network: MemoryNetwork;

  readonly nodes = new Map<string, Node>();

  readonly log = new VersionLog(this.platform);

  /** Names of data centres or processes that are disconnected from the platform. */
  readonly cutOff = new Set<string>();

  /** Whether their calls get no answer; otherwise they fail at once. */
  isSilentlyCut = false;

  /** Accepted configurations, indexed by version. */
  readonly accepted = [Configuration.empty];

  private constructor(private readonly options: FleetOptions) {
    this.random = new SeededRandom(options.seed ?? 7);
    const codec = options.codec ?? new MsgpackCodec();
    this.network = new MemoryNetwork(this.clock, this.random, codec);
  }

  /** Starts all processes and waits until they know each other. */
  static async start(options: FleetOptions): Promise<TestFleet> {
    const fleet = new TestFleet(options);
    for (const [dataCentre, size] of Object.entries(options.sizes)) {
      for (let index = 1; index <= size; index++) {
        fleet.launch(`${dataCentre}-${index}`, dataCentre);
      }
    }
    await fleet.time.advance(SETTLE_MS);
    return fleet;
  }

  get alive(): Node[] {
    return [...this.nodes.values()].filter((node) => node.isAlive);
  }

  /** Live processes of a data centre, ordered by rank. */
  ranked(dataCentre: string): Node[] {
    const [any] = this.alive.filter(({ host }) => host.dataCentre === dataCentre);
    const members = any?.control.ranking.ranked(dataCentre) ?? [];
    return members.map(({ instance }) => this.nodes.get(instance)!).filter((node) => node.isAlive);
  }

  get versions(): number[] {
    return this.alive.map(({ control }) => control.replica.current.number);
  }

  holds(version: number): boolean {
    return this.versions.every((held) => held >= version);
  }

  /** Accepts a change as the next version; resolves to its number. */
  async accept(change: Change = this.someChange()): Promise<number> {
    const { version } = await this.write(this.next(change));
    this.accepted.push(this.accepted.at(-1)!.next(change));
    return version.number;
  }

  /** Builds the next version without writing it. */
  next(change: Change = this.someChange()): Version {
    const head = this.accepted.at(-1)!;
    const { number, digest } = head.next(change);
    const acceptedAt = this.clock.now();
    return { number, parent: head.digest, digest, note: `note-${number}`, acceptedAt, change };
  }

  /** Appends a version to the log as it is, valid or not. */
  async write(version: Version): Promise<VersionRecord> {
    const record: VersionRecord = {
      version,
      action: 'submit',
      author: 'dana',
      nonce: this.random.nonce(),
      content: digestOf(version.note),
      undo: { put: [], remove: [] },
    };
    await this.log.append(record, this.clock.now() + HEARTBEAT_MS);
    return record;
  }

  /** A change that adds a route and an upstream for it. */
  someChange(): Change {
    const name = `suppers-${this.accepted.length}`;
    const upstream = Upstream.parse({ kind: 'upstream', name });
    const route = Route.parse({ kind: 'route', name, pathPrefix: `/${name}`, upstream: name });
    return { put: [upstream, route], remove: [] };
  }

  kill(name: string, how: 'closed' | 'silent' = 'closed'): void {
    const node = this.nodes.get(name)!;
    node.isAlive = false;
    this.network.detach(node.host, how);
    node.host.gate.shut();
    void node.control[Symbol.asyncDispose]();
  }

  /** Starts a process, or a new one for the name of a killed process. */
  launch(name: string, dataCentre: string): Node {
    const gate = new Gate();
    const clock = new GatedClock(this.clock, gate);
    const isCut = () => this.cutOff.has(dataCentre) || this.cutOff.has(name);
    const release = this.options.releaseOf?.(name);
    const received = (link: Link) => release?.link(link) ?? link;
    const isSilent = () => this.isSilentlyCut;
    const connected = new InterruptiblePlatform(this.platform, clock, gate, isCut, isSilent);
    const platform = release?.platform(connected) ?? connected;
    const { linkKbps } = this.options;
    const port = 1_000 + [...this.nodes.keys(), name].indexOf(name);
    const host: Host = {
      host: '10.0.0.1',
      port,
      dataCentre,
      gate,
      bandwidthLimiter: linkKbps === undefined ? undefined : new BandwidthLimiter(linkKbps),
      accept: (link) => control.mesh.accept(received(link)),
    };
    const dialer = new ReleaseDialer(this.network.attach(host), received);
    const control = new Control(
      {
        instance: name,
        dataCentre,
        host: host.host,
        linkPort: port,
        guardPort: 0,
        operatorsPort: 0,
        incarnation: this.clock.now(),
        sequence: 0,
        liveness: 'alive',
      },
      {
        fanout: this.options.fanout ?? 2,
        heartbeatMs: this.options.heartbeatMs ?? HEARTBEAT_MS,
        profile: this.options.profile ?? new ConvergenceProfile(),
        ...(this.options.pace && { pace: this.options.pace }),
        peers: [...this.nodes.values()]
          .filter((node) => node.name !== name)
          .slice(0, 3)
          .map((node) => node.host),
      },
      {
        platform,
        clock,
        random: this.random,
        dialer,
        feed: (replica) =>
          this.options.feed?.(replica, clock, isCut, platform) ?? logFeed(platform, replica),
      },
    );
    const node = { name, host, control, isAlive: true };
    this.nodes.set(name, node);
    this.options.onLaunch?.(node, platform, clock);
    control.start();
    return node;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const { name } of this.alive) this.kill(name);
    await this.time.advance(HEARTBEAT_MS);
    this.time[Symbol.dispose]();
  }
}

class ReleaseDialer extends Dialer {
  constructor(
    private readonly dialer: Dialer,
    private readonly received: (link: Link) => Link,
  ) {
    super();
  }

  async dial(host: string, port: number): Promise<Link> {
    return this.received(await this.dialer.dial(host, port));
  }
}

/** Processes that run membership only, simulated in this process with fake timers. */
import { type Member } from '../../contracts.js';
import { type Address, Mesh } from '../../distribution/mesh.js';
import { HEARTBEAT } from '../../distribution/methods.js';
import { Replica } from '../../distribution/replica.js';
import { Methods } from '../../link/peer.js';
import { Bootstrap } from '../../membership/bootstrap.js';
import { Directory } from '../../membership/directory.js';
import { GossipTask } from '../../membership/gossip.js';
import { Probe } from '../../membership/probe.js';
import { Ranking } from '../../membership/ranking.js';
import { Roster } from '../../membership/roster.js';
import { SeededRandom } from '../../runtime/random.js';
import { Gate } from '../../standins/gate.js';
import { type Host, MemoryNetwork } from '../../standins/memory_network.js';
import { PlatformStore } from '../../standins/platform_store.js';
import { FakeTime } from '../fake_time.js';
import { memberOf } from './member.js';
import { CountingCodec } from './traffic.js';

const HEARTBEAT_MS = 1_000;
const FANOUT = 8;

export class Node {
  readonly host: Host;

  readonly roster: Roster;

  readonly ranking: Ranking;

  readonly mesh: Mesh;

  readonly gossip: GossipTask;

  readonly directory: Directory;

  readonly #stopping = new AbortController();

  constructor(
    private readonly fleet: Fleet,
    readonly self: Member,
    seed: number,
    peers: readonly Address[],
  ) {
    const { clock, network, platform } = fleet;
    const random = new SeededRandom(seed);
    const replica = new Replica();
    const methods = new Methods();
    // The network partitions data centres; with one per process, it can cut any pair.
    this.host = {
      host: self.host,
      port: self.linkPort,
      dataCentre: self.instance,
      gate: new Gate(),
      accept: (link) => this.mesh.accept(link),
    };
    this.roster = new Roster(self);
    this.ranking = new Ranking(this.roster, FANOUT);
    const dialer = network.attach(this.host);
    const { digest } = replica.current;
    const hello = () => ({ member: this.roster.self, version: 0, digest, isReady: true });
    this.mesh = new Mesh(this.roster, this.ranking, methods, dialer, clock, random, hello);
    this.gossip = new GossipTask(
      this.roster,
      this.mesh,
      replica,
      clock,
      random,
      HEARTBEAT_MS,
      methods,
    );
    methods.on(HEARTBEAT, (peer, { roster }) => this.gossip.compare(peer, roster));
    this.directory = new Directory(platform, this.roster, this.ranking, clock, random);
    const { signal } = this.#stopping;
    void new Bootstrap(() => peers, this.mesh, this.directory, clock, random).run(signal);
    void new Probe(this.roster, this.ranking, this.mesh, clock, random, () => peers).run(signal);
    void this.directory.run(signal);
    void this.gossip.run(signal);
    void this.mesh.run(signal);
  }

  get instance(): string {
    return this.self.instance;
  }

  /** Stops abruptly like a killed process: its port refuses connections and its links close. */
  async kill(): Promise<void> {
    this.fleet.network.detach(this.host, 'closed');
    this.#stopping.abort();
    await this.mesh[Symbol.asyncDispose]();
  }

  /** Shuts down gracefully. */
  async stop(): Promise<void> {
    this.roster.leave();
    await this.gossip.dissemination.flush(this.fleet.clock.now() + HEARTBEAT_MS);
    await this.kill();
  }
}

export class Fleet implements AsyncDisposable {
  readonly time = new FakeTime();

  readonly clock = this.time.clock;

  readonly codec = new CountingCodec();

  readonly network = new MemoryNetwork(this.clock, new SeededRandom(1), this.codec);

  readonly platform = new PlatformStore(this.clock);

  readonly nodes: Node[] = [];

  /** Starts a process whose link port is `number`. */
  start(number: number, dataCentre = 'arima', peers: readonly number[] = []): Node {
    const self = memberOf(`i${number}`, {
      dataCentre,
      linkPort: number,
      incarnation: this.clock.now() + 1,
    });
    return this.add(self, peers);
  }

  /** Starts a process from its member record; `peers` are link ports. */
  add(self: Member, peers: readonly number[]): Node {
    const addresses = peers.map((port) => ({ host: self.host, port }));
    const node = new Node(this, self, self.linkPort + 1, addresses);
    this.nodes.push(node);
    return node;
  }

  startMany(size: number, dataCentres: readonly string[] = ['arima'], peers = [0]): void {
    for (let number = 0; number < size; number++) {
      this.start(number, dataCentres[number % dataCentres.length], peers);
    }
  }

  /** Gives all processes the same roster without sending any message. */
  shareRosters(): void {
    const members = this.nodes.map(({ self }) => self);
    for (const { roster } of this.nodes) roster.merge(members, { isBulk: true });
  }

  /** Cuts the network between all pairs of ports for which `isCut` holds. */
  cut(isCut: (one: number, other: number) => boolean): void {
    for (const one of this.nodes) {
      for (const other of this.nodes) {
        if (isCut(one.self.linkPort, other.self.linkPort)) {
          this.network.cut(one.instance, other.instance);
        }
      }
    }
  }

  /** Advances time until `condition` holds; resolves to the ms it took, `Infinity` at the limit. */
  async until(condition: () => boolean, limitMs: number, stepMs = 100): Promise<number> {
    const from = this.clock.now();
    while (!condition()) {
      if (this.clock.now() - from >= limitMs) return Infinity;
      await this.time.advance(stepMs);
    }
    return this.clock.now() - from;
  }

  /** Whether all of `nodes` have equal rosters with exactly `size` members alive. */
  agrees(size: number, nodes: readonly Node[] = this.nodes): boolean {
    const [first] = nodes;
    return nodes.every(
      ({ roster }) => roster.counts.alive === size && roster.hash === first!.roster.hash,
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const node of this.nodes) await node.kill();
    this.time[Symbol.dispose]();
  }
}

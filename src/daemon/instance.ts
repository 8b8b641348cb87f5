/** One whole process of the system, put together from its parts. */
import { createServer, type Server } from 'node:net';
import { type Member } from '../contracts.js';
import { type Codec } from '../link/codec.js';
import { Methods } from '../link/peer.js';
import { connect, TcpLink } from '../link/tcp_link.js';
import { BytesProfile, ConvergenceProfile, Distributor } from '../distribution/distributor.js';
import { Dialer, Mesh } from '../distribution/mesh.js';
import { HEARTBEAT } from '../distribution/methods.js';
import { Reader } from '../distribution/reader.js';
import { Replica } from '../distribution/replica.js';
import { EndpointLease } from '../membership/announcement.js';
import { Bootstrap } from '../membership/bootstrap.js';
import { Directory } from '../membership/directory.js';
import { GossipTask } from '../membership/gossip.js';
import { Probe } from '../membership/probe.js';
import { Ranking } from '../membership/ranking.js';
import { Roster } from '../membership/roster.js';
import { type Platform } from '../platform/platform.js';
import { Balancer } from '../requests/balancer.js';
import { Entry } from '../requests/entry.js';
import { Guard } from '../requests/guard.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { Log } from '../source/log.js';
import { Source } from '../source/source.js';
import { Journal } from './log.js';
import { OperatorsPort } from './operators_port.js';
import { bind } from './bind.js';
import { type Settings } from './settings.js';

/** What the outside world gives to a process. */
export interface Surroundings {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: Random;
  readonly codec: Codec;
}

const DIAL_TIMEOUT_MS = 1_000;
/** How long a stop waits for the neighbours to hear of it, in milliseconds. */
const FAREWELL_MS = 500;

/**
 * @example
 * ```ts
 * await using instance = await Instance.start(settings, surroundings);
 * ```
 */
export class Instance implements AsyncDisposable {
  readonly replica = new Replica();

  readonly roster: Roster;

  readonly ranking: Ranking;

  readonly guard: Guard;

  readonly entry: Entry;

  readonly source: Source;

  readonly distributor: Distributor;

  readonly mesh: Mesh;

  readonly reader: Reader;

  readonly journal: Journal;

  readonly directory: Directory;

  readonly gossip: GossipTask;

  /** What the upstream instance beside this process announces. */
  readonly endpointLease: EndpointLease;

  readonly #bootstrap: Bootstrap;

  readonly #probe: Probe;

  readonly #operators: OperatorsPort;

  readonly #linkServer: Server;

  readonly #stopping = new AbortController();

  readonly #tasks: Promise<void>[] = [];

  private constructor(
    readonly settings: Settings,
    readonly surroundings: Surroundings,
    self: Member,
    ports: OpenPorts,
  ) {
    const { platform, clock, random, codec } = surroundings;
    this.journal = new Journal(self.instance, clock);
    this.roster = new Roster(self);
    this.ranking = new Ranking(this.roster, settings.fanout);
    const log = new Log(platform);
    this.source = new Source(log, clock, random);
    const methods = new Methods();
    this.mesh = new Mesh(
      this.roster,
      this.ranking,
      methods,
      new TcpDialer(codec),
      clock,
      random,
      () => ({
        member: this.roster.self,
        version: this.replica.current.number,
        digest: this.replica.current.digest,
      }),
    );
    const profile = settings.profile === 'bytes' ? new BytesProfile() : new ConvergenceProfile();
    this.distributor = new Distributor(
      this.replica,
      this.mesh,
      this.roster,
      this.ranking,
      profile,
      clock,
      methods,
    );
    this.gossip = new GossipTask(
      this.roster,
      this.mesh,
      this.replica,
      clock,
      random,
      settings.heartbeatMs,
      methods,
    );
    methods.on(HEARTBEAT, (peer, { version, roster }) => {
      this.distributor.heard(peer, version);
      this.gossip.compare(peer, roster);
    });
    this.reader = new Reader(log, this.replica, this.ranking, clock, random);
    this.directory = new Directory(platform, this.roster, this.ranking, clock, random);
    this.#bootstrap = new Bootstrap(settings.peers, this.mesh, this.directory, clock, random);
    this.#probe = new Probe(this.roster, this.ranking, this.mesh, clock, random, settings.peers);
    const balancer = new Balancer(this.roster, random);
    this.guard = ports.guard;
    this.endpointLease = new EndpointLease(this.roster, clock);
    this.endpointLease.onTaken((announcement) => this.guard.announce(announcement));
    this.entry = new Entry(
      () => this.replica.current,
      () => this.isReady,
      balancer,
      clock,
      random,
    );
    this.#operators = new OperatorsPort(this);
    this.#linkServer = ports.link;
    this.replica.onApplied(() => {
      const { number, digest } = this.replica.current;
      this.journal.record('applied', { version: number, digest });
    });
  }

  /** Opens the ports, joins the others and starts all tasks. */
  static async start(settings: Settings, surroundings: Surroundings): Promise<Instance> {
    const ports = { guard: new Guard(surroundings.clock), link: createServer() };
    const { host } = settings;
    const linkPort = await bind(ports.link, host, settings.linkPort);
    const guardPort = await bind(ports.guard.server, host, settings.guardPort);
    const self: Member = {
      instance: settings.instance,
      dataCentre: settings.dataCentre,
      host,
      linkPort,
      guardPort,
      operatorsPort: settings.operatorsPort,
      incarnation: Math.floor(surroundings.clock.now()),
      sequence: 0,
      liveness: 'alive',
    };
    const instance = new Instance(settings, surroundings, self, ports);
    await instance.#open();
    return instance;
  }

  /** Whether requests may be taken: the configuration held is known not to be an old one. */
  get isReady(): boolean {
    return this.replica.current.number > 0;
  }

  get callerPort(): number {
    return portOf(this.entry.server);
  }

  get operatorsPort(): number {
    return portOf(this.#operators.server);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.roster.leave();
    await this.gossip.news.settle(this.surroundings.clock.now() + FAREWELL_MS);
    this.#stopping.abort();
    await this.entry[Symbol.asyncDispose]();
    await this.guard[Symbol.asyncDispose]();
    await this.#operators[Symbol.asyncDispose]();
    await this.mesh[Symbol.asyncDispose]();
    this.#linkServer.close();
    await Promise.all(this.#tasks);
    this.journal.record('stopped');
  }

  async #open(): Promise<void> {
    const { codec } = this.surroundings;
    const { host, callerPort, operatorsPort } = this.settings;
    this.#linkServer.on('connection', (socket) => this.mesh.accept(new TcpLink(socket, codec)));
    await bind(this.#operators.server, host, operatorsPort);
    await bind(this.entry.server, host, callerPort);
    const { signal } = this.#stopping;
    this.#tasks.push(
      this.#bootstrap.run(signal),
      this.mesh.run(signal),
      this.#probe.run(signal),
      this.endpointLease.run(signal),
      this.reader.run(signal),
      this.directory.run(signal),
      this.gossip.run(signal),
    );
    this.journal.record('started', { callerPort: this.callerPort });
  }
}

interface OpenPorts {
  readonly guard: Guard;
  readonly link: Server;
}

class TcpDialer extends Dialer {
  constructor(private readonly codec: Codec) {
    super();
  }

  dial(host: string, port: number): Promise<TcpLink> {
    return connect(host, port, this.codec, DIAL_TIMEOUT_MS);
  }
}

function portOf(server: Server): number {
  const address = server.address();
  return typeof address === 'object' && address ? address.port : 0;
}

/** Control plane of a process: configuration and membership, without the proxying of requests. */
import { setMaxListeners } from 'node:events';
import { type Member } from '../contracts.js';
import { HeadLookup } from '../distribution/head_lookup.js';
import { type Feed } from '../distribution/feed.js';
import { Distributor } from '../distribution/distributor.js';
import { type Address, type Dialer, Mesh } from '../distribution/mesh.js';
import { HEARTBEAT } from '../distribution/methods.js';
import { type Profile } from '../distribution/profile.js';
import { ReadDelegation } from '../distribution/read_delegation.js';
import { Reader } from '../distribution/reader.js';
import { ReaderMonitor } from '../distribution/reader_monitor.js';
import { ReaderStandby } from '../distribution/reader_standby.js';
import { ReaderRole } from '../distribution/reader_role.js';
import { Readiness } from '../distribution/readiness.js';
import { SourceFallback } from '../distribution/source_fallback.js';
import { Replica } from '../distribution/replica.js';
import { Surveyor } from '../distribution/surveyor.js';
import { Methods } from '../link/peer.js';
import { EndpointLease } from '../membership/announcement.js';
import { Bootstrap } from '../membership/bootstrap.js';
import { Directory } from '../membership/directory.js';
import { Drains } from '../membership/drains.js';
import { GossipTask } from '../membership/gossip.js';
import { type Pace, STEADY } from '../membership/pace.js';
import { Probe } from '../membership/probe.js';
import { Ranking } from '../membership/ranking.js';
import { Restarts } from '../membership/restarts.js';
import { Roster } from '../membership/roster.js';
import { SilentNeighbours } from '../membership/silent_neighbours.js';
import { type Platform } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { keepRunning, runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { sleepUntilAny } from '../runtime/sleep.js';

/** External services that the control plane uses. */
export interface ControlDependencies {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: Random;
  readonly dialer: Dialer;
  /** Creates the source of configuration versions. */
  readonly feed: (replica: Replica) => Feed;
}

export interface ControlOptions {
  readonly fanout: number;
  readonly heartbeatMs: number;
  readonly profile: Profile;
  /** Link addresses to contact first when joining. */
  readonly peers: readonly Address[];
  readonly pace?: Pace;
  /** How long an announcement of the local upstream instance is valid, in milliseconds. */
  readonly leaseMs?: number;
}

/** How long a stop waits until the neighbours have acknowledged it, in milliseconds. */
const LEAVE_TIMEOUT_MS = 500;
/** How long `endpointReplicated` waits for acknowledgements of neighbours, in milliseconds. */
const REPLICATION_TIMEOUT_MS = 300;
/** Neighbours that have to store a state: it is lost only if both fail along with this process. */
const REQUIRED_REPLICAS = 2;

export class Control implements AsyncDisposable {
  readonly replica = new Replica();

  readonly roster: Roster;

  readonly ranking: Ranking;

  readonly restarts: Restarts;

  /** Handlers for requests that arrive on links. */
  readonly methods = new Methods();

  readonly mesh: Mesh;

  readonly distributor: Distributor;

  readonly surveyor: Surveyor;

  readonly readiness: Readiness;

  readonly readerRole: ReaderRole;

  readonly reader: Reader;

  readonly readDelegation: ReadDelegation;

  readonly readerMonitor: ReaderMonitor;

  readonly sourceFallback: SourceFallback;

  readonly directory: Directory;

  readonly gossip: GossipTask;

  /** State announced by the local upstream instance. */
  readonly endpointLease: EndpointLease;

  readonly #readerStandby: ReaderStandby;

  readonly #silentNeighbours: SilentNeighbours;

  readonly #drains: Drains;

  readonly #bootstrap: Bootstrap;

  readonly #probe: Probe;

  readonly #pace: Pace;

  readonly #stopping = new AbortController();

  #tasks: Promise<void>[] = [];

  /** Link addresses to contact first; a reload of the settings may replace them. */
  peers: readonly Address[];

  constructor(
    self: Member,
    options: ControlOptions,
    private readonly dependencies: ControlDependencies,
  ) {
    const { platform, clock, random, dialer } = dependencies;
    const { methods, replica } = this;
    const { pace = STEADY } = options;
    this.#pace = pace;
    this.peers = options.peers;
    this.roster = new Roster(self);
    this.restarts = new Restarts(this.roster);
    this.ranking = new Ranking(this.roster, options.fanout);
    this.mesh = new Mesh(this.roster, this.ranking, methods, dialer, clock, random, () => ({
      member: this.roster.self,
      version: replica.current.number,
      digest: replica.current.digest,
      isReady: this.readiness.isReady,
    }));
    this.distributor = new Distributor(
      replica,
      this.mesh,
      this.roster,
      this.ranking,
      options.profile,
      clock,
      random,
      methods,
      () => this.readiness.isReady,
    );
    this.surveyor = new Surveyor(replica, this.mesh, this.roster, this.ranking, clock, methods);
    this.gossip = new GossipTask(
      this.roster,
      this.mesh,
      replica,
      clock,
      random,
      options.heartbeatMs,
      methods,
    );
    this.#silentNeighbours = new SilentNeighbours(
      this.mesh,
      this.ranking,
      clock,
      random,
      options.heartbeatMs,
    );
    methods.on(HEARTBEAT, (peer, heartbeat) => {
      this.distributor.handleHeartbeat(peer, heartbeat);
      this.gossip.compare(peer, heartbeat.roster);
    });
    this.readerRole = new ReaderRole(this.ranking, clock);
    this.reader = new Reader(
      dependencies.feed(replica),
      replica,
      this.readerRole,
      clock,
      random,
      pace,
    );
    this.readDelegation = new ReadDelegation(
      this.reader,
      this.readerRole,
      this.ranking,
      this.roster,
      this.mesh,
      clock,
      random,
      methods,
    );
    this.readerMonitor = new ReaderMonitor(
      this.reader,
      this.readerRole,
      this.ranking,
      this.roster,
      this.mesh,
      clock,
      methods,
      options.heartbeatMs,
      this.gossip,
    );
    this.#readerStandby = new ReaderStandby(this.readerMonitor, this.readDelegation, clock, random);
    this.sourceFallback = new SourceFallback(
      this.readDelegation,
      this.readerRole,
      replica,
      clock,
      random,
    );
    this.distributor.onStalled(() =>
      runInBackground('read when stalled', this.sourceFallback.readMissing()),
    );
    this.#silentNeighbours.onCutOff = () =>
      runInBackground('read when cut off', this.sourceFallback.readWhileCutOff());
    const headLookup = new HeadLookup(
      this.reader,
      this.readerRole,
      this.mesh,
      this.roster,
      this.ranking,
      clock,
      methods,
      () => this.readDelegation.delegate,
    );
    this.readiness = new Readiness(
      self,
      replica,
      this.reader,
      headLookup,
      this.mesh,
      this.ranking,
      clock,
      random,
      pace,
    );
    this.readiness.onReady(() => this.distributor.announceReady());
    const { roster, ranking, mesh } = this;
    this.directory = new Directory(platform, roster, ranking, clock, random, pace);
    this.endpointLease = new EndpointLease(roster, clock, options.leaseMs);
    this.#drains = new Drains(roster, this.endpointLease, clock, mesh, methods);
    const addresses = () => this.peers;
    this.#bootstrap = new Bootstrap(addresses, mesh, this.directory, clock, random, pace);
    this.#probe = new Probe(roster, ranking, mesh, clock, random, addresses);
  }

  /** Joins the fleet and starts all tasks. */
  start(): void {
    const { signal } = this.#stopping;
    // One listener per task at least; Node.js logs a warning above ten by default.
    setMaxListeners(0, signal);
    const tasks: Readonly<Record<string, (until: AbortSignal) => Promise<void>>> = {
      bootstrap: (until) => this.#bootstrap.run(until),
      probe: (until) => this.#probe.run(until),
      'endpoint lease': (until) => this.endpointLease.run(until),
      drains: (until) => this.#drains.run(until),
      links: (until) => this.mesh.run(until),
      reader: (until) => this.#runReader(until),
      'reader standby': (until) => this.#readerStandby.run(until),
      'silent neighbours': (until) => this.#silentNeighbours.run(until),
      directory: (until) => this.directory.run(until),
      gossip: (until) => this.gossip.run(until),
    };
    this.#tasks = Object.entries(tasks).map(([place, run]) =>
      keepRunning(place, run, signal, this.dependencies.clock),
    );
  }

  /**
   * Resolves when `REQUIRED_REPLICAS` neighbours (all, if there are fewer) hold the latest state of
   * the local endpoint, or after `REPLICATION_TIMEOUT_MS`. An announcement that is acknowledged
   * earlier would be lost if this process crashed.
   */
  async endpointReplicated(): Promise<void> {
    await this.gossip.dissemination.flush(
      this.dependencies.clock.now() + REPLICATION_TIMEOUT_MS,
      REQUIRED_REPLICAS,
    );
  }

  /**
   * Announces that this process leaves. Resolves when its neighbours have acknowledged that, or
   * after `LEAVE_TIMEOUT_MS`.
   */
  async leave(): Promise<void> {
    this.roster.leave();
    await this.gossip.dissemination.flush(this.dependencies.clock.now() + LEAVE_TIMEOUT_MS);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    await this.mesh[Symbol.asyncDispose]();
    await Promise.all(this.#tasks);
  }

  /**
   * A process that knows no other member ranks itself first and would read the log from the
   * platform. If many processes start together, all would do so at once. So unless the pace is
   * eager, each waits for its first link and the roster that arrives on it.
   */
  async #runReader(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.dependencies;
    const { joinTimeoutMs, rosterWaitMs, isEager } = this.#pace;
    const deadline = clock.now() + joinTimeoutMs + random.jitter(joinTimeoutMs);
    const linked = new AbortController();
    this.mesh.onOpen(() => linked.abort());
    if (!isEager) {
      await sleepUntilAny(clock, deadline, [signal, linked.signal]);
      await clock.sleepUntil(clock.now() + rosterWaitMs, signal);
    }
    await Promise.all([this.reader.run(signal), this.readiness.run(signal)]);
  }
}

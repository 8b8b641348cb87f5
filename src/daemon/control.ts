/** The control part of a process: configuration and membership, without the carrying of requests. */
import { type Member } from '../contracts.js';
import { Confirmation } from '../distribution/confirmation.js';
import { type Feed } from '../distribution/feed.js';
import { Distributor } from '../distribution/distributor.js';
import { type Address, type Dialer, Mesh } from '../distribution/mesh.js';
import { HEARTBEAT } from '../distribution/methods.js';
import { type Profile } from '../distribution/profile.js';
import { Reader } from '../distribution/reader.js';
import { Readiness } from '../distribution/readiness.js';
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
import { Roster } from '../membership/roster.js';
import { type Platform } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';

/** What the control part is given of the outside world. */
export interface ControlSurroundings {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: Random;
  readonly dialer: Dialer;
  /** Where versions come from. */
  readonly feed: (replica: Replica) => Feed;
}

export interface ControlOptions {
  readonly fanout: number;
  readonly heartbeatMs: number;
  readonly profile: Profile;
  /** Where others are looked for first. */
  readonly peers: readonly Address[];
  readonly pace?: Pace;
  /** How long an announcement of the upstream instance holds, in milliseconds. */
  readonly leaseMs?: number;
}

/** How long a stop waits for the neighbours to hear of it, in milliseconds. */
const FAREWELL_MS = 500;
/** How long an acknowledgement waits for neighbours that keep it, in milliseconds. */
const KEPT_MS = 300;
/** Neighbours that keep what is acknowledged; both would have to die with this process. */
const KEEPERS = 2;

export class Control implements AsyncDisposable {
  readonly replica = new Replica();

  readonly roster: Roster;

  readonly ranking: Ranking;

  /** What this process answers on its links. */
  readonly methods = new Methods();

  readonly mesh: Mesh;

  readonly distributor: Distributor;

  readonly surveyor: Surveyor;

  readonly readiness: Readiness;

  readonly reader: Reader;

  readonly directory: Directory;

  readonly gossip: GossipTask;

  /** What the upstream instance beside this process announces. */
  readonly endpointLease: EndpointLease;

  readonly #drains: Drains;

  readonly #bootstrap: Bootstrap;

  readonly #probe: Probe;

  readonly #pace: Pace;

  readonly #stopping = new AbortController();

  #tasks: Promise<void>[] = [];

  /** Where others are looked for first; settings may change while the process runs. */
  peers: readonly Address[];

  constructor(
    self: Member,
    options: ControlOptions,
    private readonly surroundings: ControlSurroundings,
  ) {
    const { platform, clock, random, dialer } = surroundings;
    const { methods, replica } = this;
    const { pace = STEADY } = options;
    this.#pace = pace;
    this.peers = options.peers;
    this.roster = new Roster(self);
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
    methods.on(HEARTBEAT, (peer, heartbeat) => {
      this.distributor.heard(peer, heartbeat);
      this.gossip.compare(peer, heartbeat.roster);
    });
    this.reader = new Reader(
      surroundings.feed(replica),
      replica,
      this.ranking,
      clock,
      random,
      pace,
    );
    const confirmation = new Confirmation(
      this.reader,
      this.mesh,
      this.roster,
      this.ranking,
      clock,
      methods,
    );
    this.readiness = new Readiness(
      self,
      replica,
      this.reader,
      confirmation,
      this.mesh,
      this.ranking,
      clock,
      random,
      pace,
    );
    this.readiness.onReady(() => this.distributor.announce());
    const { roster, ranking, mesh } = this;
    this.directory = new Directory(platform, roster, ranking, clock, random, pace);
    this.endpointLease = new EndpointLease(roster, clock, options.leaseMs);
    this.#drains = new Drains(roster, this.endpointLease, clock, mesh, methods);
    const addresses = () => this.peers;
    this.#bootstrap = new Bootstrap(addresses, mesh, this.directory, clock, random, pace);
    this.#probe = new Probe(roster, ranking, mesh, clock, random, addresses);
  }

  /** Joins the others and starts all tasks. */
  start(): void {
    const { signal } = this.#stopping;
    this.#tasks = [
      this.#bootstrap.run(signal),
      this.#probe.run(signal),
      this.endpointLease.run(signal),
      this.#drains.run(signal),
      this.mesh.run(signal),
      this.#follow(signal),
      this.directory.run(signal),
      this.gossip.run(signal),
    ];
  }

  /**
   * Resolves when neighbours hold what was said last of the endpoint beside: an acknowledgement
   * before that would be forgotten if this process died.
   */
  async kept(): Promise<void> {
    await this.gossip.news.settle(this.surroundings.clock.now() + KEPT_MS, KEEPERS);
  }

  /** Says that this process leaves; resolves when its neighbours know. */
  async leave(): Promise<void> {
    this.roster.leave();
    await this.gossip.news.settle(this.surroundings.clock.now() + FAREWELL_MS);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    await this.mesh[Symbol.asyncDispose]();
    await Promise.all(this.#tasks);
  }

  /**
   * A process that knows nobody yet ranks first and would read the log itself. When a herd starts,
   * all would do so at once; hence it gets acquainted first, for a moment.
   */
  async #follow(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.surroundings;
    const { acquaintMs, rosterMs, isEager } = this.#pace;
    const deadline = clock.now() + acquaintMs + random.jitter(acquaintMs);
    const acquainted = new AbortController();
    this.mesh.onOpen(() => acquainted.abort());
    if (!isEager) {
      await clock.sleepUntil(deadline, AbortSignal.any([signal, acquainted.signal]));
      await clock.sleepUntil(clock.now() + rosterMs, signal);
    }
    await Promise.all([this.reader.run(signal), this.readiness.run(signal)]);
  }
}

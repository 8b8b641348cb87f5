/** One whole process of the system, put together from its parts. */
import { createServer, type Server } from 'node:net';
import { type Member } from '../contracts.js';
import { type Feed } from '../distribution/feed.js';
import { type Codec } from '../link/codec.js';
import { connect, TcpLink } from '../link/tcp_link.js';
import { BytesProfile, ConvergenceProfile } from '../distribution/profile.js';
import { Dialer } from '../distribution/mesh.js';
import { type Replica } from '../distribution/replica.js';
import { type Surveyor } from '../distribution/surveyor.js';
import { type Pace } from '../membership/pace.js';
import { type Roster } from '../membership/roster.js';
import { type Platform } from '../platform/platform.js';
import { type Dialect } from '../requests/dialect.js';
import { Uplink } from '../admission/uplink.js';
import { Balancer } from '../placement/balancer.js';
import { Entry } from '../requests/entry.js';
import { firstLook } from '../requests/first_look.js';
import { Guard } from '../requests/guard.js';
import { OWN_DIALECT } from '../requests/own_dialect.js';
import { Presence } from '../requests/presence.js';
import { partOf, type Retries, USUAL_RETRIES } from '../placement/retry_budget.js';
import { Safeguards } from '../requests/safeguards.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { logFeed } from '../source/log_feed.js';
import { Source } from '../source/source.js';
import { Control } from './control.js';
import { type Log, SilentLog } from '../logs/log.js';
import { RequestLog } from '../logs/request_log.js';
import { Tally } from '../logs/tally.js';
import { type OrderSource } from '../rollout/order_source.js';
import { Rollouts } from '../rollout/rollouts.js';
import { recordBeliefs } from './beliefs.js';
import { EndedRequests } from './ended_requests.js';
import { OperatorsPort } from './operators_port.js';
import { bind } from './bind.js';
import { RequestMeter } from './request_meter.js';
import { type Settings } from './settings.js';

/** What the outside world gives to a process. */
export interface Surroundings {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: Random;
  readonly codec: Codec;
  /** What callers and the upstream instance speak; the product's own when absent. */
  readonly dialect?: Dialect;
  /** Where versions come from; the log of release notes when absent. */
  readonly feed?: (replica: Replica) => Feed;
  /** Where operators order roll-outs; endpoints of all versions are alike when absent. */
  readonly orders?: OrderSource;
  readonly pace?: Pace;
  /** Where lines are written; nowhere when absent. */
  readonly log?: Log;
}

const DIAL_TIMEOUT_MS = 1_000;
/** How long a process that starts looks for a configuration before it gives up on that, in ms. */
const FIRST_LOOK_MS = 3_000;
const MS_PER_SECOND = 1_000;
/** How long a stop waits for the reader of its lines, in milliseconds. */
const LAST_LINES_MS = 100;
const NEVER = new AbortController().signal;

/**
 * @example
 * ```ts
 * await using instance = await Instance.start(settings, surroundings);
 * ```
 */
export class Instance implements AsyncDisposable {
  readonly control: Control;

  readonly guard: Guard;

  readonly entry: Entry;

  readonly source: Source;

  readonly entryMeter: RequestMeter;

  readonly guardMeter: RequestMeter;

  readonly log: Log;

  /** What became of requests, as the metrics tell it. */
  readonly endedAtEntry = new EndedRequests('entry');

  readonly endedAtGuard = new EndedRequests('guard');

  readonly requestLogs: readonly RequestLog[];

  readonly safeguards: Safeguards;

  /** Absent where nobody can order any. */
  readonly rollouts: Rollouts | undefined;

  readonly #operators: OperatorsPort;

  readonly #linkServer: Server;

  readonly #tally: Tally;

  #isStopping = false;

  readonly #stopping = new AbortController();

  #appliedAt: number;

  private constructor(
    readonly settings: Settings,
    readonly surroundings: Surroundings,
    self: Member,
    ports: OpenPorts,
  ) {
    const { platform, clock, random, codec, dialect, pace } = surroundings;
    const feed = surroundings.feed ?? ((replica) => logFeed(platform, replica));
    this.log = surroundings.log ?? new SilentLog();
    const profile = settings.profile === 'bytes' ? new BytesProfile() : new ConvergenceProfile();
    this.control = new Control(
      self,
      { ...settings, profile, ...(pace && { pace }) },
      { platform, clock, random, feed, dialer: new TcpDialer(codec) },
    );
    this.source = new Source(platform, clock, random);
    this.rollouts = this.#followedRollouts();
    const balancer = new Balancer(this.roster, clock, random, this.rollouts?.plan);
    this.guard = ports.guard;
    this.guard.configuration = () => this.replica.current;
    this.control.endpointLease.onTaken((announcement) => this.guard.announce(announcement));
    this.guard.rollouts = this.rollouts;
    this.guard.onRefused = () => this.control.endpointLease.refused();
    this.entry = new Entry(
      () => this.replica.current,
      () => this.control.readiness.isReady,
      balancer,
      clock,
      random,
      dialect,
      this.#retries(),
      ports.uplink,
      ports.presence,
    );
    const { mesh, methods, ranking } = this.control;
    const takesKeys = dialect?.takesKeys ?? true;
    const grounds = { platform, clock, random, mesh, methods, ranking, takesKeys };
    this.safeguards = new Safeguards(self.instance, grounds);
    this.safeguards.protect(this.entry, this.guard);
    this.entryMeter = new RequestMeter(this.entry.server, clock);
    this.guardMeter = new RequestMeter(this.guard.server, clock);
    this.#operators = new OperatorsPort(this);
    this.#linkServer = ports.link;
    this.#tally = new Tally(this.log, clock);
    this.entry.requestLog = new RequestLog(this.log, clock, (ended) => {
      this.endedAtEntry.add(ended);
      this.#tally.add(ended);
    });
    this.guard.requestLog = new RequestLog(this.log, clock, (ended) =>
      this.endedAtGuard.add(ended),
    );
    this.requestLogs = [this.entry.requestLog, this.guard.requestLog];
    this.#appliedAt = clock.now();
    this.replica.onApplied(() => {
      this.#appliedAt = clock.now();
    });
    recordBeliefs(this.control, platform, this.log, clock);
  }

  /** Whether release notes are accepted here, or the configuration comes from elsewhere. */
  get acceptsNotes(): boolean {
    return this.surroundings.feed === undefined;
  }

  /** Opens the ports, joins the others and starts all tasks. */
  static async start(settings: Settings, surroundings: Surroundings): Promise<Instance> {
    const { clock, dialect } = surroundings;
    const uplink = new Uplink(clock, settings.uplinkKbps);
    const presence = new Presence(clock);
    const guard = new Guard(clock, dialect, uplink, presence);
    const ports = { guard, uplink, presence, link: createServer() };
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
      incarnation: Math.floor(clock.now()),
      sequence: 0,
      liveness: 'alive',
    };
    const instance = new Instance(settings, surroundings, self, ports);
    await instance.#open();
    return instance;
  }

  /**
   * Whether callers should be sent here: the configuration held is known not to be an old one, and
   * this process is not stopping.
   */
  get isReady(): boolean {
    return this.control.readiness.isReady && !this.#isStopping;
  }

  /**
   * Stops without cutting what is in flight, by `deadline` at the latest (milliseconds since the
   * epoch); disposal follows. The ports stay open until the others have heard of it: a request
   * that meets a port closing under it is lost, and nobody can tell whether it ran. Callers take
   * longer to hear of it than other processes do, so the upstream instance works on meanwhile.
   */
  async stop(deadline: number): Promise<void> {
    const { clock } = this.surroundings;
    const closeAt = Math.min(deadline, clock.now() + this.settings.noticeMs);
    this.#isStopping = true;
    this.entry.traffic.leave();
    this.log.record('info', { event: 'stopping' });
    await clock.sleepUntil(closeAt - this.settings.drainMs);
    this.guard.leave();
    this.control.endpointLease.leave();
    await clock.sleepUntil(closeAt);
    this.entry.traffic.close();
    await this.entry.traffic.finish(deadline);
    await this.guard.traffic.finish(deadline);
    await this.#farewell();
  }

  get replica(): Replica {
    return this.control.replica;
  }

  get surveyor(): Surveyor {
    return this.control.surveyor;
  }

  get roster(): Roster {
    return this.control.roster;
  }

  /** How long the version has been in force here. */
  versionAgeSeconds(): number {
    return (this.surroundings.clock.now() - this.#appliedAt) / MS_PER_SECOND;
  }

  get callerPort(): number {
    return portOf(this.entry.server);
  }

  get operatorsPort(): number {
    return portOf(this.#operators.server);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    await this.control.leave();
    await this.entry[Symbol.asyncDispose]();
    await this.guard[Symbol.asyncDispose]();
    await this.safeguards[Symbol.asyncDispose]();
    await this.#operators[Symbol.asyncDispose]();
    await this.source[Symbol.asyncDispose]();
    await this.control[Symbol.asyncDispose]();
    this.#linkServer.close();
  }

  /**
   * The upstream instance may have been running on while this process was restarted. Until its
   * next announcement it would get no work, and callers would be refused with its slots free. One
   * that declines may have told the process before that it drains.
   */
  async #lookBeside(): Promise<void> {
    const { upstreamName, upstreamAddress } = this.settings;
    if (upstreamName === undefined || upstreamAddress === undefined) return;
    const { clock, dialect = OWN_DIALECT } = this.surroundings;
    await this.replica.above(0, clock.now() + FIRST_LOOK_MS, clock, NEVER);
    const path = this.replica.current.find('upstream', upstreamName)?.healthPath;
    if (path === undefined) return;
    const { endpointLease } = this.control;
    const { identity, isDeclined } = await firstLook({ ...upstreamAddress, path }, dialect);
    if (isDeclined) endpointLease.doubt();
    if (!identity || endpointLease.isKnown) return;
    endpointLease.take({
      upstream: upstreamName,
      state: 'ready',
      ...upstreamAddress,
      ...identity,
      coldMs: 0,
    });
  }

  /** The last lines: whoever looks for a cut request wants to know what was left then. */
  async #farewell(): Promise<void> {
    const { clock } = this.surroundings;
    const inFlight = this.entry.traffic.inFlight + this.guard.traffic.inFlight;
    this.#tally.flush();
    this.log.record('info', { event: 'stopped', inFlight });
    await this.log.drain(clock.now() + LAST_LINES_MS);
  }

  #followedRollouts(): Rollouts | undefined {
    const { orders: source, clock, random } = this.surroundings;
    if (!source) return undefined;
    const { roster, ranking, mesh, methods, endpointLease } = this.control;
    endpointLease.tellsVersion = true;
    const { log } = this;
    const { rolloutShare: allowedShare } = this.settings;
    const parts = { roster, ranking, mesh, methods, clock, random, log, source, allowedShare };
    return new Rollouts(parts);
  }

  #retries(): Retries {
    const { retryPercent, retrySlack, retryWindowMs } = this.settings;
    if (retrySlack === undefined) return { ...USUAL_RETRIES, percent: retryPercent };
    // Members that were lost count too: behind a cut each side would else take all of it.
    const allowance = () => partOf(retrySlack, retryWindowMs, this.roster.size);
    return { percent: retryPercent, allowance };
  }

  async #open(): Promise<void> {
    const { codec } = this.surroundings;
    const { host, operatorsPort } = this.settings;
    this.#linkServer.on('connection', (socket) =>
      this.control.mesh.accept(new TcpLink(socket, codec)),
    );
    await bind(this.#operators.server, host, operatorsPort);
    await bind(this.entry.server, host, this.settings.callerPort);
    this.control.start();
    void this.rollouts?.run(this.#stopping.signal);
    const { dataCentre, incarnation } = this.roster.self;
    const { callerPort } = this;
    this.log.record('info', { event: 'started', dataCentre, callerPort, incarnation });
    void this.#lookBeside();
  }
}

interface OpenPorts {
  readonly guard: Guard;
  /** By which answers of both hops leave this machine. */
  readonly uplink: Uplink;
  /** Both hops pass requests on in the same turns. */
  readonly presence: Presence;
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

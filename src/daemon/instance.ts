/** One instance: control plane, entry, guard and operators' port of a process. */
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
import { SharedQuota } from '../quota/shared_quota.js';
import { type Dialect } from '../requests/dialect.js';
import { Uplink } from '../admission/uplink.js';
import { Balancer } from '../placement/balancer.js';
import { Entry } from '../requests/entry.js';
import { probeUpstream } from '../requests/upstream_probe.js';
import { Guard } from '../requests/guard.js';
import { DEFAULT_DIALECT } from '../requests/default_dialect.js';
import { DisconnectCheck } from '../requests/disconnect_check.js';
import {
  allowanceOf,
  type RetrySettings,
  DEFAULT_RETRY_SETTINGS,
} from '../placement/retry_budget.js';
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
import { recordStateChanges } from './state_changes.js';
import { EndedRequests } from './ended_requests.js';
import { OperatorsPort } from './operators_port.js';
import { bind } from './bind.js';
import { RequestMeter } from './request_meter.js';
import { type Settings } from './settings.js';

/** External services and options that an instance is started with. */
export interface InstanceDependencies {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: Random;
  readonly codec: Codec;
  /** Headers that callers and the upstream instance use; `DEFAULT_DIALECT` if absent. */
  readonly dialect?: Dialect;
  /** Creates the source of configuration versions; the log of release notes if absent. */
  readonly feed?: (replica: Replica) => Feed;
  /** Source of rollout orders; without it endpoints of all versions are treated alike. */
  readonly orders?: OrderSource;
  readonly pace?: Pace;
  /** Nothing is logged if absent. */
  readonly log?: Log;
}

const DIAL_TIMEOUT_MS = 1_000;
/** How long a process waits for its first configuration before the probe of its upstream, in ms. */
const CONFIGURATION_TIMEOUT_MS = 3_000;
const MS_PER_SECOND = 1_000;
/** How long a stop waits until the buffered log lines are written, in milliseconds. */
const LOG_DRAIN_TIMEOUT_MS = 100;
const NEVER_ABORTED = new AbortController().signal;

/**
 * A running process: proxies requests and takes part in the fleet until it is stopped and disposed.
 *
 * @example
 * ```ts
 * await using instance = await Instance.start(settings, dependencies);
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

  /** Requests that ended at the entry, for the metrics. */
  readonly endedAtEntry = new EndedRequests('entry');

  /** Requests that ended at the guard, for the metrics. */
  readonly endedAtGuard = new EndedRequests('guard');

  readonly requestLogs: readonly RequestLog[];

  readonly safeguards: Safeguards;

  /** Absent without a source of rollout orders. */
  readonly rollouts: Rollouts | undefined;

  readonly #operators: OperatorsPort;

  readonly #linkServer: Server;

  readonly #tally: Tally;

  #isStopping = false;

  readonly #stopping = new AbortController();

  #appliedAt: number;

  private constructor(
    readonly settings: Settings,
    readonly dependencies: InstanceDependencies,
    self: Member,
    ports: OpenPorts,
  ) {
    const { platform, clock, random, codec, dialect, pace } = dependencies;
    const feed = dependencies.feed ?? ((replica) => logFeed(platform, replica));
    this.log = dependencies.log ?? new SilentLog();
    const profile = settings.profile === 'bytes' ? new BytesProfile() : new ConvergenceProfile();
    this.control = new Control(
      self,
      { ...settings, profile, ...(pace && { pace }) },
      { platform, clock, random, feed, dialer: new TcpDialer(codec) },
    );
    this.source = new Source(platform, clock, random);
    this.rollouts = this.#createRollouts();
    const balancer = new Balancer(this.roster, clock, random, this.rollouts?.roles);
    this.guard = ports.guard;
    this.guard.configuration = () => this.replica.current;
    this.control.endpointLease.onAnnouncement((announcement) => this.guard.announce(announcement));
    this.guard.rolloutObserver = this.rollouts;
    this.guard.onLeaving = (run) => this.control.endpointLease.depart(run);
    this.guard.onConnectionRefused = () => this.control.endpointLease.connectionRefused();
    this.entry = new Entry(
      () => this.replica.current,
      () => this.control.readiness.isReady,
      balancer,
      clock,
      random,
      dialect,
      this.#retrySettings(),
      ports.uplink,
      ports.disconnectCheck,
    );
    const { mesh, methods, ranking } = this.control;
    const takesKeys = dialect?.takesKeys ?? true;
    const safeguardParts = { platform, clock, random, mesh, methods, ranking, takesKeys };
    this.safeguards = new Safeguards(self.instance, safeguardParts);
    this.safeguards.install(this.entry, this.guard);
    this.entry.quota = SharedQuota.of(this.control, clock, random, this.#stopping.signal);
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
    ports.disconnectCheck.onLongWait = (waitedMs, waiting) => {
      this.log.record('warn', {
        event: 'caller-check-late',
        waitedMs: Math.round(waitedMs),
        waiting,
      });
    };
    recordStateChanges(this.control, this.guard, platform, this.log, clock);
  }

  /** Whether this process accepts release notes: its configuration comes from their log. */
  get acceptsNotes(): boolean {
    return this.dependencies.feed === undefined;
  }

  /** Opens the ports, joins the fleet and starts all tasks. */
  static async start(settings: Settings, dependencies: InstanceDependencies): Promise<Instance> {
    const { clock, dialect } = dependencies;
    const uplink = new Uplink(clock, settings.uplinkKbps);
    const disconnectCheck = new DisconnectCheck(clock);
    const guard = new Guard(clock, dialect, uplink, disconnectCheck);
    const ports = { guard, uplink, disconnectCheck, link: createServer() };
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
    const instance = new Instance(settings, dependencies, self, ports);
    await instance.#open();
    return instance;
  }

  /**
   * Whether callers may send requests here: the configuration is known to be no older than the one
   * this instance had before, and the process is not stopping.
   */
  get isReady(): boolean {
    return this.control.readiness.isReady && !this.#isStopping;
  }

  /**
   * Stops gracefully: waits for requests in flight, until `deadline` at the latest (milliseconds
   * since the epoch); disposal follows. The ports stay open until other processes and callers know
   * of the stop: a request that arrives while its port closes is lost, and it is unknown whether it
   * ran. Callers learn of it later than other processes do, so the upstream instance keeps working
   * until the last `drainMs` of the notice.
   */
  async stop(deadline: number): Promise<void> {
    const { clock } = this.dependencies;
    const closeAt = Math.min(deadline, clock.now() + this.settings.noticeMs);
    this.#isStopping = true;
    this.entry.tracker.beginShutdown();
    this.log.record('info', { event: 'stopping' });
    await clock.sleepUntil(closeAt - this.settings.drainMs);
    this.guard.beginShutdown();
    this.control.endpointLease.startDraining();
    await clock.sleepUntil(closeAt);
    this.entry.tracker.stopAccepting();
    await this.entry.tracker.waitUntilIdle(deadline);
    await this.guard.tracker.waitUntilIdle(deadline);
    await this.#logStopped();
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

  /** Time since the current version was put in force by this process, in seconds. */
  versionAgeSeconds(): number {
    return (this.dependencies.clock.now() - this.#appliedAt) / MS_PER_SECOND;
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
   * Asks the local upstream instance for its state. It may have kept running while this process
   * restarted. Until its next announcement it would get no work, and callers would be refused
   * although it has free slots. An instance that declines may have announced its drain to the
   * previous process, so a single `ready` is not trusted then.
   */
  async #probeUpstream(): Promise<void> {
    const { upstreamName, upstreamAddress } = this.settings;
    if (upstreamName === undefined || upstreamAddress === undefined) return;
    const { clock, dialect = DEFAULT_DIALECT } = this.dependencies;
    await this.replica.waitUntilAbove(
      0,
      clock.now() + CONFIGURATION_TIMEOUT_MS,
      clock,
      NEVER_ABORTED,
    );
    const path = this.replica.current.find('upstream', upstreamName)?.healthPath;
    if (path === undefined) return;
    const { endpointLease } = this.control;
    const { identity, refusesWork } = await probeUpstream({ ...upstreamAddress, path }, dialect);
    if (refusesWork) endpointLease.requireConfirmation();
    if (!identity || endpointLease.isKnown) return;
    endpointLease.renew({
      upstream: upstreamName,
      state: 'ready',
      ...upstreamAddress,
      ...identity,
      coldMs: 0,
    });
  }

  /** Logs how many requests the stop cuts, for whoever traces one of them, and drains the log. */
  async #logStopped(): Promise<void> {
    const { clock } = this.dependencies;
    const inFlight = this.entry.tracker.inFlight + this.guard.tracker.inFlight;
    this.#tally.flush();
    this.log.record('info', { event: 'stopped', inFlight });
    await this.log.drain(clock.now() + LOG_DRAIN_TIMEOUT_MS);
  }

  #createRollouts(): Rollouts | undefined {
    const { orders: source, clock, random } = this.dependencies;
    if (!source) return undefined;
    const { roster, ranking, mesh, methods, endpointLease } = this.control;
    endpointLease.publishesVersion = true;
    const { log } = this;
    const { rolloutShare: allowedShare } = this.settings;
    const parts = { roster, ranking, mesh, methods, clock, random, log, source, allowedShare };
    return new Rollouts(parts);
  }

  #retrySettings(): RetrySettings {
    const { retryPercent, retrySlack, retryWindowMs } = this.settings;
    if (retrySlack === undefined) return { ...DEFAULT_RETRY_SETTINGS, percent: retryPercent };
    // Lost members count, too: in a partition each side would otherwise use the whole allowance.
    const allowance = () => allowanceOf(retrySlack, retryWindowMs, this.roster.size);
    return { percent: retryPercent, allowance };
  }

  async #open(): Promise<void> {
    const { codec } = this.dependencies;
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
    void this.#probeUpstream();
  }
}

/** Parts that are created before the instance, with the ports that are already bound. */
interface OpenPorts {
  readonly guard: Guard;
  /** The network link that carries the responses of entry and guard. */
  readonly uplink: Uplink;
  /** Shared, so that entry and guard check their callers in the same turns of the event loop. */
  readonly disconnectCheck: DisconnectCheck;
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

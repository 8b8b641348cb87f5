/** One instance: control plane, entry, guard and operators' port of a process. */
import { type Server } from 'node:net';
import { type Uplink } from '../admission/uplink.js';
import { BytesProfile, ConvergenceProfile } from '../distribution/profile.js';
import { type Replica } from '../distribution/replica.js';
import { TcpLink } from '../link/tcp_link.js';
import { type Log, SilentLog } from '../logs/log.js';
import { type Roster } from '../membership/roster.js';
import { Balancer } from '../placement/balancer.js';
import { type Quota } from '../quota/quota.js';
import { SharedQuota } from '../quota/shared_quota.js';
import { DEFAULT_DIALECT } from '../requests/default_dialect.js';
import { Entry } from '../requests/entry.js';
import { type Guard } from '../requests/guard.js';
import { Safeguards } from '../requests/safeguards.js';
import { type Rollouts } from '../rollout/rollouts.js';
import { logFeed } from '../source/log_feed.js';
import { Source } from '../source/source.js';
import { bind, portOf } from './bind.js';
import { Control } from './control.js';
import { createRollouts } from './create_rollouts.js';
import { type InstanceDependencies } from './dependencies.js';
import { HeapWatch } from './heap_watch.js';
import { logFaults } from './fault_log.js';
import { Metrics } from './metrics.js';
import { type OpenPorts, openPorts } from './open_ports.js';
import { operatorMethods } from './operator_methods.js';
import { OperatorsPort } from './operators_port.js';
import { RequestMeter } from './request_meter.js';
import { RequestRecords } from './request_records.js';
import { retrySettingsOf } from './retry_settings.js';
import { findRunningUpstream } from './running_upstream.js';
import { type Settings } from './settings.js';
import { recordStateChanges } from './state_changes.js';
import { TcpDialer } from './tcp_dialer.js';
import { keepRunning, runInBackground } from '../runtime/faults.js';

/** Last part of a stop, for large responses and for closing the connections of callers, in ms. */
const CLOSING_MS = 1_000;
/** How long a stop waits until the buffered log lines are written, in milliseconds. */
const LOG_DRAIN_TIMEOUT_MS = 100;

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

  readonly safeguards: Safeguards;

  readonly #quota: Quota;

  readonly #log: Log;

  readonly #records: RequestRecords;

  readonly #rollouts: Rollouts | undefined;

  readonly #operators: OperatorsPort;

  readonly #linkServer: Server;

  readonly #uplink: Uplink;

  readonly #heapWatch: HeapWatch;

  readonly #faultLog: Disposable;

  #isStopping = false;

  readonly #stopping = new AbortController();

  private constructor(
    readonly settings: Settings,
    readonly dependencies: InstanceDependencies,
    ports: OpenPorts,
  ) {
    const { platform, clock, random, log = new SilentLog() } = dependencies;
    this.#log = log;
    this.#faultLog = logFaults(log, clock);
    this.control = createControl(settings, dependencies, ports);
    this.source = new Source(platform, clock, random);
    this.#rollouts = createRollouts(this.control, settings, dependencies, log);
    this.guard = ports.guard;
    this.#connectGuard();
    this.entry = this.#createEntry(ports);
    this.#quota = SharedQuota.of(this.control, clock, random, this.#stopping.signal);
    this.entry.quota = this.#quota;
    this.safeguards = this.#createSafeguards();
    this.#records = new RequestRecords(log, clock, this.replica);
    this.entry.requestLog = this.#records.entryLog;
    this.guard.requestLog = this.#records.guardLog;
    this.#operators = this.#createOperatorsPort();
    this.#linkServer = ports.link;
    this.#uplink = ports.uplink;
    this.#heapWatch = new HeapWatch(log);
    ports.disconnectCheck.onLongWait = (waitedMs, waiting) => {
      log.record('warn', { event: 'caller-check-late', waitedMs: Math.round(waitedMs), waiting });
    };
    recordStateChanges(this.control, this.guard, platform, log, clock);
  }

  /** Opens the ports, joins the fleet and starts all tasks. */
  static async start(settings: Settings, dependencies: InstanceDependencies): Promise<Instance> {
    const ports = await openPorts(settings, dependencies);
    const instance = new Instance(settings, dependencies, ports);
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
   * until the last `drainMs` of the notice. Until then requests are taken in any case: their callers
   * could only send them to the same port again. The port is still open while the instance works: it
   * may make calls through it, and its request would fail with them.
   */
  async stop(deadline: number): Promise<void> {
    const { clock } = this.dependencies;
    const closeAt = Math.min(deadline, clock.now() + this.settings.noticeMs);
    this.#isStopping = true;
    this.entry.tracker.beginShutdown();
    this.#log.record('info', { event: 'stopping' });
    runInBackground('uplink', this.#releaseUplink(deadline - CLOSING_MS));
    await clock.sleepUntil(closeAt - this.settings.drainMs);
    this.guard.beginShutdown();
    this.control.endpointLease.startDraining();
    await clock.sleepUntil(closeAt);
    this.entry.tracker.limitTo(deadline);
    await this.#close(deadline);
  }

  /**
   * Stops after an exception that may have left state of the process half changed. What is in flight
   * has state of its own and ends, until `deadline` at the latest (milliseconds since the epoch); all
   * other requests are refused at once, since their routing and limits cannot be relied on.
   */
  async stopAfterFault(deadline: number): Promise<void> {
    this.#isStopping = true;
    this.entry.tracker.beginShutdown();
    this.entry.tracker.refuseNew();
    this.guard.beginShutdown();
    this.control.endpointLease.startDraining();
    this.#uplink.release();
    await this.#close(deadline);
    await this.control.leave();
  }

  get replica(): Replica {
    return this.control.replica;
  }

  get roster(): Roster {
    return this.control.roster;
  }

  get callerPort(): number {
    return portOf(this.entry.server);
  }

  get operatorsPort(): number {
    return portOf(this.#operators.server);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopping.abort();
    this.#heapWatch[Symbol.dispose]();
    await this.control.leave();
    await this.entry[Symbol.asyncDispose]();
    await this.guard[Symbol.asyncDispose]();
    await this.safeguards[Symbol.asyncDispose]();
    await this.#operators[Symbol.asyncDispose]();
    await this.source[Symbol.asyncDispose]();
    await this.control[Symbol.asyncDispose]();
    this.#linkServer.close();
    this.#faultLog[Symbol.dispose]();
  }

  #connectGuard(): void {
    const { endpointLease, replica } = this.control;
    this.guard.configuration = () => replica.current;
    endpointLease.onAnnouncement((announcement) => this.guard.announce(announcement));
    this.guard.rolloutObserver = this.#rollouts;
    this.guard.onLeaving = (run) => endpointLease.depart(run);
    this.guard.onConnectionRefused = () => endpointLease.connectionRefused();
  }

  #createEntry({ uplink, disconnectCheck }: OpenPorts): Entry {
    const { clock, random, dialect } = this.dependencies;
    const { replica, readiness, roster } = this.control;
    return new Entry(
      () => replica.current,
      () => readiness.isReady,
      new Balancer(roster, clock, random, this.#rollouts?.roles),
      clock,
      random,
      dialect,
      retrySettingsOf(this.settings, roster),
      uplink,
      disconnectCheck,
    );
  }

  #createSafeguards(): Safeguards {
    const { platform, clock, random, dialect = DEFAULT_DIALECT } = this.dependencies;
    const { mesh, methods, ranking } = this.control;
    const parts = { platform, clock, random, mesh, methods, ranking, dialect };
    const safeguards = new Safeguards(this.settings.instance, parts);
    safeguards.install(this.entry, this.guard);
    return safeguards;
  }

  #createOperatorsPort(): OperatorsPort {
    const { clock, platform, feed } = this.dependencies;
    const { replica, roster, restarts, ranking, mesh, surveyor, endpointLease } = this.control;
    const { readerRole, readDelegation, readerMonitor } = this.control;
    const { entry, guard, safeguards, source } = this;
    const parts = {
      clock,
      platform,
      replica,
      roster,
      restarts,
      ranking,
      readerRole,
      readDelegation,
      readerMonitor,
      mesh,
      surveyor,
      endpointLease,
      entry,
      guard,
      safeguards,
      source,
      entryMeter: new RequestMeter(entry.server, clock),
      guardMeter: new RequestMeter(guard.server, clock),
      records: this.#records,
      log: this.#log,
      quota: this.#quota,
      orders: this.#rollouts?.orders,
      acceptsNotes: feed === undefined,
      isReady: () => this.isReady,
    };
    const metrics = new Metrics(parts);
    return new OperatorsPort({ ...parts, metrics, methods: operatorMethods(parts) });
  }

  #startRollouts(): void {
    const rollouts = this.#rollouts;
    if (!rollouts) return;
    const { signal } = this.#stopping;
    const run = (until: AbortSignal) => rollouts.run(until);
    runInBackground('rollouts', keepRunning('rollouts', run, signal, this.dependencies.clock));
  }

  async #releaseUplink(at: number): Promise<void> {
    await this.dependencies.clock.sleepUntil(at, this.#stopping.signal);
    this.#uplink.release();
  }

  /** Waits for requests in flight while the port closes; logs what the stop cuts. */
  async #close(deadline: number): Promise<void> {
    await this.guard.tracker.waitUntilIdle(deadline - CLOSING_MS);
    this.entry.tracker.stopAccepting();
    this.#log.record('info', { event: 'port-closed', ...this.entry.tracker.counts });
    await this.entry.tracker.waitUntilIdle(deadline);
    await this.guard.tracker.waitUntilIdle(deadline);
    await this.#logStopped();
  }

  /** Logs which requests the stop cuts, and drains the log. */
  async #logStopped(): Promise<void> {
    const { clock } = this.dependencies;
    const inFlight = this.entry.tracker.inFlight + this.guard.tracker.inFlight;
    const { connections } = this.entry.tracker.counts;
    this.#records.logEnd();
    this.#log.record('info', { event: 'stopped', inFlight, connections });
    await this.#log.drain(clock.now() + LOG_DRAIN_TIMEOUT_MS);
  }

  async #open(): Promise<void> {
    const { codec, clock, dialect } = this.dependencies;
    const { host, operatorsPort } = this.settings;
    const { mesh, replica, endpointLease } = this.control;
    this.#linkServer.on('connection', (socket) => mesh.accept(new TcpLink(socket, codec)));
    await bind(this.#operators.server, host, operatorsPort);
    await bind(this.entry.server, host, this.settings.callerPort);
    this.control.start();
    this.#startRollouts();
    const { dataCentre, incarnation } = this.roster.self;
    const { callerPort } = this;
    this.#log.record('info', { event: 'started', dataCentre, callerPort, incarnation });
    const search = { replica, endpointLease, clock, dialect };
    runInBackground('upstream search', findRunningUpstream(this.settings, search));
  }
}

function createControl(
  settings: Settings,
  { platform, clock, random, codec, pace, feed }: InstanceDependencies,
  { self }: OpenPorts,
): Control {
  const profile = settings.profile === 'bytes' ? new BytesProfile() : new ConvergenceProfile();
  return new Control(
    self,
    { ...settings, profile, ...(pace && { pace }) },
    {
      platform,
      clock,
      random,
      feed: feed ?? ((replica) => logFeed(platform, replica)),
      dialer: new TcpDialer(codec),
    },
  );
}

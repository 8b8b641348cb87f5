/** Metrics of one process in the Prometheus text format. */
import { type Mesh } from '../distribution/mesh.js';
import { type ReadDelegation } from '../distribution/read_delegation.js';
import { type ReaderMonitor } from '../distribution/reader_monitor.js';
import { type ReaderRole } from '../distribution/reader_role.js';
import { type Replica } from '../distribution/replica.js';
import { type Peer } from '../link/peer.js';
import { type Log } from '../logs/log.js';
import { type Restarts } from '../membership/restarts.js';
import { type Roster } from '../membership/roster.js';
import { type Platform } from '../platform/platform.js';
import { type Quota } from '../quota/quota.js';
import { type Entry } from '../requests/entry.js';
import { type Guard } from '../requests/guard.js';
import { type Safeguards } from '../requests/safeguards.js';
import { type Clock } from '../runtime/clock.js';
import { faultCounts } from '../runtime/faults.js';
import { histogramText } from './ended_requests.js';
import { Gauges, PREFIX } from './gauges.js';
import { heapUse } from './heap_use.js';
import { type RequestMeter } from './request_meter.js';
import { type RequestRecords } from './request_records.js';
import { TeamMetrics } from './team_metrics.js';

const PERCENTILES = [50, 90, 99, 99.9] as const;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Parts of a process whose state is exported. */
export interface MeasuredParts {
  readonly clock: Clock;
  readonly replica: Replica;
  readonly roster: Pick<Roster, 'counts' | 'refutations'>;
  readonly restarts: Pick<Restarts, 'unannounced'>;
  readonly readerRole: Pick<ReaderRole, 'isReader'>;
  readonly readDelegation: Pick<ReadDelegation, 'delegate'>;
  readonly readerMonitor: Pick<ReaderMonitor, 'silentMs'>;
  readonly mesh: Pick<Mesh, 'peers'>;
  readonly platform: Pick<Platform, 'meter'>;
  readonly entry: Pick<Entry, 'budgets'>;
  readonly guard: Pick<Guard, 'limit' | 'load'>;
  readonly safeguards: Pick<Safeguards, 'claims' | 'quarantine' | 'sweep'>;
  readonly entryMeter: RequestMeter;
  readonly guardMeter: RequestMeter;
  readonly records: RequestRecords;
  readonly quota: Pick<Quota, 'usage'>;
  readonly log: Pick<Log, 'dropped'>;
  readonly isReady: () => boolean;
}

/** Values are read on each scrape; no copies are kept. */
export class Metrics {
  readonly #gauges = new Gauges();

  readonly #teams: TeamMetrics;

  #appliedAt: number;

  constructor(private readonly parts: MeasuredParts) {
    const { clock, replica, records, quota } = parts;
    this.#appliedAt = clock.now();
    replica.onApplied(() => {
      this.#appliedAt = clock.now();
    });
    this.#teams = new TeamMetrics(replica, records.byTeam, quota);
    this.#configuration();
    this.#membership();
    this.#links();
    this.#requests('entry', parts.entryMeter);
    this.#requests('guard', parts.guardMeter);
    this.#limit();
    this.#safeguards();
    this.#platform();
    this.#logs();
    this.#memory();
  }

  get contentType(): string {
    return this.#gauges.contentType;
  }

  async text(): Promise<string> {
    const { endedAtEntry, endedAtGuard } = this.parts.records;
    const histograms = [endedAtEntry, endedAtGuard].map((ended) =>
      histogramText(
        `${PREFIX}${ended.hop}_request_seconds`,
        'Time to the end of the answer or refusal',
        ended,
      ),
    );
    return (await this.#gauges.text()) + histograms.join('') + (await this.#teams.text());
  }

  #configuration(): void {
    const { clock, replica, readerRole, readDelegation, readerMonitor, isReady } = this.parts;
    this.#gauges.add('version', 'Version in force', () => replica.current.number);
    this.#gauges.add(
      'version_age_seconds',
      'Time since the version was put in force',
      () => (clock.now() - this.#appliedAt) / MS_PER_SECOND,
    );
    this.#gauges.add('resources', 'Resources held', () => replica.current.size);
    this.#gauges.add('ready', '1 once requests are taken', () => Number(isReady()));
    this.#gauges.add(
      'refused_version',
      'Number of the last refused version while none later is in force, or 0',
      () => replica.refusal?.number ?? 0,
    );
    this.#gauges.add('reader', '1 while this process watches the platform', () =>
      Number(readerRole.isReader),
    );
    this.#gauges.add(
      'reading_delegated',
      '1 while another process watches the platform in place of this one, which does not reach it',
      () => Number(readDelegation.delegate !== undefined),
    );
    this.#gauges.add(
      'readers_silent_seconds',
      'Time since a reader of the data centre was last known to run; 0 where that is not followed',
      () => (readerMonitor.silentMs ?? 0) / MS_PER_SECOND,
    );
  }

  #membership(): void {
    const { roster, restarts } = this.parts;
    this.#gauges.addLabelled('members', 'Members known, by liveness', ['liveness'], (gauge) => {
      for (const [liveness, count] of Object.entries(roster.counts)) gauge.set({ liveness }, count);
    });
    this.#gauges.add('refutations', 'Statements about itself refuted', () => roster.refutations);
    this.#gauges.add(
      'unannounced_restarts',
      'Starts of other processes that had ended without announcing that they leave',
      () => restarts.unannounced,
    );
  }

  #links(): void {
    const { mesh } = this.parts;
    const sum = (bytes: (peer: Peer) => number) =>
      mesh.peers.reduce((total, peer) => total + bytes(peer), 0);
    this.#gauges.add('links', 'Links open', () => mesh.peers.length);
    this.#gauges.add('link_bytes_sent', 'Bytes sent on the open links', () =>
      sum(({ link }) => link.bytesSent),
    );
    this.#gauges.add('link_bytes_received', 'Bytes received on the open links', () =>
      sum(({ link }) => link.bytesReceived),
    );
  }

  #requests(role: string, meter: RequestMeter): void {
    this.#gauges.add(`${role}_requests_in_flight`, 'Requests in flight', () => meter.inFlight);
    this.#gauges.addLabelled(
      `${role}_requests_ended`,
      'Requests ended since the start, by verdict and reason',
      ['verdict', 'reason'],
      (gauge) => {
        for (const { ending, count } of meter.endings) gauge.set({ ...ending }, count);
      },
    );
    this.#gauges.addLabelled(
      `${role}_answer_seconds`,
      'Time from request to the end of the answer, by percentile',
      ['percentile'],
      (gauge) => {
        for (const percentile of PERCENTILES) {
          const value = meter.latency.getValueAtPercentile(percentile) / MICROSECONDS_PER_SECOND;
          gauge.set({ percentile: String(percentile) }, value);
        }
      },
    );
  }

  #limit(): void {
    const { limit } = this.parts.guard;
    this.#gauges.add('limit_in_flight', 'Requests at the upstream instance', () => limit.inFlight);
    this.#gauges.add('limit_slots', 'Requests that it may get at a time', () => limit.load.slots);
    this.#gauges.add(
      'rate_limit',
      'Requests per second that the upstream instance takes; 0 without a limit',
      () => {
        const { perSecond } = limit.rateLimit;
        return Number.isFinite(perSecond) ? perSecond : 0;
      },
    );
    this.#gauges.addLabelled(
      'retry_tokens',
      'Retries that the budget allows',
      ['upstream'],
      (gauge) => {
        for (const [upstream, { tokens }] of this.parts.entry.budgets) {
          gauge.set({ upstream }, tokens);
        }
      },
    );
    this.#gauges.add(
      'uplink_leaving_seconds',
      'Time until all heavy answers that are promised have left by the network link',
      () => this.parts.guard.load.leavingMs / MS_PER_SECOND,
    );
    this.#gauges.add('limit_waiting', 'Requests that wait for a slot', () => limit.waiting);
  }

  #safeguards(): void {
    const { claims, quarantine, sweep } = this.parts.safeguards;
    this.#gauges.add(
      'claims_outstanding',
      'Requests with a key that run, or whose end is not in the platform yet',
      () => claims.outstanding,
    );
    this.#gauges.add('claims_replayed', 'Repeats that were told an outcome', () => claims.replayed);
    this.#gauges.add('claims_swept', 'Expired claims removed', () => sweep.removed);
    this.#gauges.add('quarantined', 'Requests kept out, by fingerprint', () => quarantine.size);
    this.#gauges.add('deaths', 'Deaths of upstream instances remembered', () => quarantine.deaths);
  }

  #platform(): void {
    const { meter } = this.parts.platform;
    this.#gauges.add('platform_away', '1 while calls to the platform fail', () =>
      Number(meter.isAway),
    );
    this.#gauges.addLabelled(
      'platform_calls',
      'Calls to the platform since the start, by method and outcome',
      ['method', 'outcome'],
      (gauge) => {
        for (const { method, outcome, count } of meter.ended) gauge.set({ method, outcome }, count);
      },
    );
  }

  #logs(): void {
    const { log, records } = this.parts;
    this.#gauges.addLabelled('log_lines_dropped', 'Lines that found no room', ['kind'], (gauge) => {
      gauge.set({ kind: 'routine' }, log.dropped.routine);
      gauge.set({ kind: 'important' }, log.dropped.important);
    });
    this.#gauges.addLabelled(
      'faults',
      'Faults of the program that ended no more than one task, by place',
      ['place'],
      (gauge) => {
        for (const [place, count] of faultCounts()) gauge.set({ place }, count);
      },
    );
    this.#gauges.add(
      'log_requests_left_out',
      'Requests of which no lines were written',
      () => records.leftOut,
    );
  }

  #memory(): void {
    this.#gauges.add(
      'heap_used_bytes',
      'Heap without young objects, with those that are not collected yet',
      () => heapUse().usedBytes,
    );
    this.#gauges.add(
      'heap_limit_bytes',
      'Limit of the heap, at which the process is aborted',
      () => heapUse().limitBytes,
    );
    this.#gauges.add(
      'resident_bytes',
      'Memory of the process that is not swapped out',
      () => heapUse().residentBytes,
    );
  }
}

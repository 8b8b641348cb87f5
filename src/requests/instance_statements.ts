/** What the upstream instance beside a guard has stated about itself in its answers. */
import { type IncomingMessage } from 'node:http';
import { type ConcurrencyLimiter } from '../admission/concurrency_limiter.js';
import { formatRate, formatSlowness, type Load } from '../admission/load.js';
import { parseRate } from '../admission/rate_limit.js';
import { formatRun, type InstanceRun, isSameRun, parseRun } from '../membership/instance_run.js';
import { type Dialect } from './dialect.js';
import { type AnnouncedEndpoint } from './guard_request.js';
import { headerOf, KNOWN_LEAVING, KNOWN_RATE, LEAVING, RATE, RUN, SLOWNESS } from './headers.js';

/** A statement binds the run of the instance that has made it, and processes that start beside it later. */
export class InstanceStatements {
  /** Called when the announced run has stated that it leaves. */
  onLeaving: (run: InstanceRun) => void = () => {};

  #announced: AnnouncedEndpoint | undefined;

  /** The last run that has stated that it leaves. */
  #leavingRun: InstanceRun | undefined;

  constructor(
    private readonly dialect: Dialect,
    private readonly limit: ConcurrencyLimiter,
  ) {}

  set announced(announced: AnnouncedEndpoint) {
    const before = this.#announced;
    this.#announced = announced;
    if (before && !isSameRun(before, announced)) this.limit.forgetRateLimit();
  }

  /** Whether the announced run has stated that it leaves. */
  get isLeaving(): boolean {
    const run = this.#leavingRun;
    return run !== undefined && this.#isAnnounced(run);
  }

  /** Records what an answer of `run` states, unless another run has begun since it was sent. */
  record({ id, born }: AnnouncedEndpoint, answer: IncomingMessage, sentAt: number): void {
    if (!this.#isAnnounced({ id, born })) return;
    // Without an id the next run could not be told from the one that leaves.
    if (id !== undefined && this.dialect.isLeaving(answer))
      this.#leave(born === undefined ? { id } : { id, born });
    const perSecond = this.dialect.rateLimitOf(answer);
    if (perSecond !== undefined) this.limit.recordRateLimit(perSecond, sentAt);
    const slowness = this.dialect.slownessOf(answer);
    if (slowness !== undefined) this.limit.slowness.record(slowness);
  }

  /** Adopts what the instance has stated to the entry, maybe before this process started. */
  adopt(request: IncomingMessage): void {
    const run = parseRun(headerOf(request, RUN));
    if (!this.#isAnnounced(run ?? {})) return;
    const perSecond = parseRate(headerOf(request, KNOWN_RATE) ?? '');
    if (perSecond !== undefined) this.limit.adoptRateLimit(perSecond);
    if (run && headerOf(request, KNOWN_LEAVING) !== undefined) this.#leave(run);
  }

  /** Headers for entries, as alternating names and values; `load` is the reported load. */
  headersWith({ rate, slowness }: Load): string[] {
    const headers: string[] = [];
    if (rate) headers.push(RATE, formatRate(rate));
    if (this.isLeaving) headers.push(LEAVING, '1');
    const { id, born } = this.#announced ?? {};
    if (headers.length > 0 && id !== undefined) headers.push(RUN, formatRun({ id, born }));
    // Of the machine, not of the run: valid for seconds only, and not sent back on requests.
    if (slowness) headers.push(SLOWNESS, formatSlowness(slowness));
    return headers;
  }

  #isAnnounced(run: Parameters<typeof isSameRun>[0]): boolean {
    return this.#announced !== undefined && isSameRun(this.#announced, run);
  }

  #leave(run: InstanceRun): void {
    if (this.isLeaving) return;
    this.#leavingRun = run;
    this.onLeaving(run);
  }
}

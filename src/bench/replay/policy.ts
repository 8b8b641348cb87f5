/** The policies that a replay compares: each selects the components that make the decisions. */
import PQueue from 'p-queue';
import { type Load } from '../../admission/load.js';
import { Uplink } from '../../admission/uplink.js';
import {
  ConcurrencyLimiter,
  type JobResult,
  type Job,
} from '../../admission/concurrency_limiter.js';
import { SlownessRecord } from '../../admission/slowness_record.js';
import { notRun, type OutcomeError } from '../../contracts.js';
import { type Roster } from '../../membership/roster.js';
import { Balancer } from '../../placement/balancer.js';
import { type EndpointStats } from '../../placement/endpoint_stats.js';
import { ReturningCallers } from '../../placement/returning_callers.js';
import { AnswerSizes } from '../../placement/answer_sizes.js';
import { type Clock } from '../../runtime/clock.js';
import { type Random } from '../../runtime/random.js';

/** Limits the concurrent work of one instance. */
export interface Limiter {
  readonly load: Load;
  /** What the instance states about its machine. */
  readonly slowness: Pick<SlownessRecord, 'record'>;
  heldMsOf(kind: string): number;
  /** Records the rate limit that an answer states; its request was sent at `sentAt`. */
  recordRateLimit(perSecond: number, sentAt: number): void;
  run(ticket: Job, work: () => Promise<JobResult>): Promise<void>;
}

export abstract class Policy {
  abstract readonly name: string;

  abstract balancer(roster: Roster, clock: Clock, random: Random): Balancer;

  abstract limiter(clock: Clock, slots: number): Limiter;

  returns(): ReturningCallers {
    return new ReturningCallers();
  }

  uplink(clock: Clock, kbps: number | undefined): Uplink {
    return new Uplink(clock, kbps);
  }

  weights(): AnswerSizes {
    return new AnswerSizes();
  }
}

/** The decisions of the current code. */
export class CurrentPolicy extends Policy {
  readonly name: string = 'ours';

  balancer(roster: Roster, clock: Clock, random: Random): Balancer {
    return new Balancer(roster, clock, random);
  }

  limiter(clock: Clock, slots: number): Limiter {
    const limit = new ConcurrencyLimiter(clock, slots);
    limit.restart(true);
    return limit;
  }
}

/**
 * Placement without state about callers or answer sizes: a returning caller counts as new, a refused
 * request is retried on any endpoint left, and bytes are not considered. Queueing at an instance is
 * that of the current code.
 */
export class FormerPolicy extends CurrentPolicy {
  override readonly name = 'former';

  override balancer(roster: Roster, clock: Clock, random: Random): Balancer {
    return new FormerBalancer(roster, clock, random);
  }

  override returns(): ReturningCallers {
    return new NoReturningCallers();
  }

  override weights(): AnswerSizes {
    return new NoAnswerSizes();
  }

  override uplink(clock: Clock): Uplink {
    return new Uplink(clock);
  }
}

/** Random placement and FIFO queueing; a request is refused only once its deadline has passed. */
export class SimplePolicy extends Policy {
  readonly name = 'simple';

  balancer(roster: Roster, clock: Clock, random: Random): Balancer {
    return new RandomBalancer(roster, clock, random);
  }

  limiter(clock: Clock, slots: number): Limiter {
    return new FifoLimiter(clock, slots);
  }

  override returns(): ReturningCallers {
    return new NoReturningCallers();
  }

  override uplink(clock: Clock): Uplink {
    return new Uplink(clock);
  }
}

class FormerBalancer extends Balancer {
  override chooseAlternative(
    upstream: string,
    tried: ReadonlySet<EndpointStats>,
  ): EndpointStats | undefined {
    return this.choose(upstream, tried);
  }

  override recordRefusal(
    chosen: EndpointStats,
    outcome: OutcomeError,
    load: Load | undefined,
  ): void {
    super.recordRefusal(chosen, outcome, load);
    if (outcome.reason === 'overloaded') this.recordShed(chosen);
  }
}

class NoReturningCallers extends ReturningCallers {
  override firstAt(_: unknown, now: number): number {
    return now;
  }
}

class NoAnswerSizes extends AnswerSizes {
  override awayMs(): number {
    return 0;
  }
}

class RandomBalancer extends Balancer {
  readonly #random: Random;

  constructor(
    private readonly known: Roster,
    clock: Clock,
    random: Random,
  ) {
    super(known, clock, random);
    this.#random = random;
  }

  override choose(upstream: string, tried: ReadonlySet<EndpointStats>): EndpointStats | undefined {
    const { size } = this.known;
    let chosen = super.choose(upstream, tried);
    // Skipping a random number of the balancer's choices makes any endpoint possible.
    const skipped = new Set(tried);
    for (let skip = this.#random.below(size); skip > 0 && chosen; skip--) {
      skipped.add(chosen);
      const next = super.choose(upstream, skipped);
      if (!next) break;
      chosen = next;
    }
    return chosen;
  }

  override chooseAlternative(): undefined {
    return undefined;
  }
}

class FifoLimiter implements Limiter {
  readonly slowness = { record: () => {} };

  readonly #queue: PQueue;

  constructor(
    private readonly clock: Clock,
    private readonly slots: number,
  ) {
    this.#queue = new PQueue({ concurrency: slots });
  }

  get load(): Load {
    const { pending: inFlight, size: waiting } = this.#queue;
    return { inFlight, slots: this.slots, waiting, heldMs: 0, leavingMs: 0 };
  }

  heldMsOf(): number {
    return 0;
  }

  recordRateLimit(): void {}

  async run({ deadline }: Job, work: () => Promise<JobResult>): Promise<void> {
    await this.#queue.add(async () => {
      if (this.clock.now() >= deadline)
        throw notRun('deadline', 'the deadline passed while the request was queued');
      await work();
    });
  }
}

/** The rules that are compared: which of the decisions are whose. */
import PQueue from 'p-queue';
import { type Load } from '../../admission/load.js';
import { Uplink } from '../../admission/uplink.js';
import {
  ConcurrencyLimiter,
  type JobResult,
  type Job,
} from '../../admission/concurrency_limiter.js';
import { notRun, type OutcomeError } from '../../contracts.js';
import { type Roster } from '../../membership/roster.js';
import { Balancer } from '../../placement/balancer.js';
import { type EndpointStats } from '../../placement/endpoint_stats.js';
import { ReturningCallers } from '../../placement/returning_callers.js';
import { AnswerSizes } from '../../placement/answer_sizes.js';
import { type Clock } from '../../runtime/clock.js';
import { type Random } from '../../runtime/random.js';

/** What bounds the work of one instance. */
export interface Gate {
  readonly load: Load;
  heldMsOf(kind: string): number;
  run(ticket: Job, work: () => Promise<JobResult>): Promise<void>;
}

export abstract class Policy {
  abstract readonly name: string;

  abstract balancer(roster: Roster, clock: Clock, random: Random): Balancer;

  abstract gate(clock: Clock, slots: number): Gate;

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

/** The decisions of this source tree. */
export class Ours extends Policy {
  readonly name: string = 'ours';

  balancer(roster: Roster, clock: Clock, random: Random): Balancer {
    return new Balancer(roster, clock, random);
  }

  gate(clock: Clock, slots: number): Gate {
    const limit = new ConcurrencyLimiter(clock, slots);
    limit.restart(true);
    return limit;
  }
}

/**
 * Placement as it was before callers were known again: who comes back is taken for new, a refused
 * request goes on to whoever is left, and bytes do not count. How work waits at an instance is ours.
 */
export class Former extends Ours {
  override readonly name = 'former';

  override balancer(roster: Roster, clock: Clock, random: Random): Balancer {
    return new FormerBalancer(roster, clock, random);
  }

  override returns(): ReturningCallers {
    return new NoReturns();
  }

  override weights(): AnswerSizes {
    return new NoWeights();
  }

  override uplink(clock: Clock): Uplink {
    return new Uplink(clock);
  }
}

/** Random choice, served in order of arrival, nothing refused before its time has run out. */
export class Simple extends Policy {
  readonly name = 'simple';

  balancer(roster: Roster, clock: Clock, random: Random): Balancer {
    return new RandomBalancer(roster, clock, random);
  }

  gate(clock: Clock, slots: number): Gate {
    return new InOrder(clock, slots);
  }

  override returns(): ReturningCallers {
    return new NoReturns();
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

class NoReturns extends ReturningCallers {
  override firstAt(_: unknown, now: number): number {
    return now;
  }
}

class NoWeights extends AnswerSizes {
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
    // The choice of the balancer is made among those left, so that any of them may come out.
    const passed = new Set(tried);
    for (let skip = this.#random.below(size); skip > 0 && chosen; skip--) {
      passed.add(chosen);
      const next = super.choose(upstream, passed);
      if (!next) break;
      chosen = next;
    }
    return chosen;
  }

  override chooseAlternative(): undefined {
    return undefined;
  }
}

class InOrder implements Gate {
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

  async run({ deadline }: Job, work: () => Promise<JobResult>): Promise<void> {
    await this.#queue.add(async () => {
      if (this.clock.now() >= deadline) throw notRun('deadline', 'no time was left to run');
      await work();
    });
  }
}

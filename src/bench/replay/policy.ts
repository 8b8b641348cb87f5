/** The rules that are compared: which of the decisions are whose. */
import PQueue from 'p-queue';
import { type Load } from '../../admission/load.js';
import { Uplink } from '../../admission/uplink.js';
import { Limit, type Outcome, type Ticket } from '../../admission/limit.js';
import { notRun, type OutcomeError } from '../../contracts.js';
import { type Roster } from '../../membership/roster.js';
import { Balancer } from '../../placement/balancer.js';
import { type Experience } from '../../placement/experience.js';
import { Returns } from '../../placement/returns.js';
import { Weights } from '../../placement/weights.js';
import { type Clock } from '../../runtime/clock.js';
import { type Random } from '../../runtime/random.js';

/** What bounds the work of one instance. */
export interface Gate {
  readonly load: Load;
  heldMsOf(kind: string): number;
  run(ticket: Ticket, work: () => Promise<Outcome>): Promise<void>;
}

export abstract class Policy {
  abstract readonly name: string;

  abstract balancer(roster: Roster, clock: Clock, random: Random): Balancer;

  abstract gate(clock: Clock, slots: number): Gate;

  returns(): Returns {
    return new Returns();
  }

  uplink(clock: Clock, kbps: number | undefined): Uplink {
    return new Uplink(clock, kbps);
  }

  weights(): Weights {
    return new Weights();
  }
}

/** The decisions of this source tree. */
export class Ours extends Policy {
  readonly name: string = 'ours';

  balancer(roster: Roster, clock: Clock, random: Random): Balancer {
    return new Balancer(roster, clock, random);
  }

  gate(clock: Clock, slots: number): Gate {
    const limit = new Limit(clock, slots);
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

  override returns(): Returns {
    return new NoReturns();
  }

  override weights(): Weights {
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

  override returns(): Returns {
    return new NoReturns();
  }

  override uplink(clock: Clock): Uplink {
    return new Uplink(clock);
  }
}

class FormerBalancer extends Balancer {
  override another(upstream: string, tried: ReadonlySet<Experience>): Experience | undefined {
    return this.choose(upstream, tried);
  }

  override refused(chosen: Experience, outcome: OutcomeError, load: Load | undefined): void {
    super.refused(chosen, outcome, load);
    if (outcome.reason === 'overloaded') this.shed(chosen);
  }
}

class NoReturns extends Returns {
  override firstAt(_: unknown, now: number): number {
    return now;
  }
}

class NoWeights extends Weights {
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

  override choose(upstream: string, tried: ReadonlySet<Experience>): Experience | undefined {
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

  override another(): undefined {
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

  async run({ deadline }: Ticket, work: () => Promise<Outcome>): Promise<void> {
    await this.#queue.add(async () => {
      if (this.clock.now() >= deadline) throw notRun('deadline', 'no time was left to run');
      await work();
    });
  }
}

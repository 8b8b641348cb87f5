/** Reads orders, in those processes that rank as readers, and writes what became of them. */
import { OutcomeError, type Rollout, type RolloutPhase } from '../contracts.js';
import { type Log } from '../logs/log.js';
import { type Ranking } from '../membership/ranking.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Judge } from './judge.js';
import { type Orders } from './orders.js';
import { type OrderSource } from './order_source.js';
import { type Newcomer } from './plan.js';
import { type Spread } from './spread.js';

/** How long one watch waits, in milliseconds; several processes hold one, so a silent one costs little. */
const WATCH_MS = 20_000;
const CALL_MS = 1_000;
/** Cap of the jittered wait after a failed call, in milliseconds; it doubles with each further one. */
const RETRY_CAP_MS = 500;
const MAX_RETRY_CAP_MS = 4_000;
/** A herd that starts gets acquainted first: else each process would list the orders. In milliseconds. */
const ACQUAINT_MS = 500;
/** A process that nobody has told of the orders by then lists them itself, in milliseconds. */
const UNTOLD_MS = 3_000;
/** How often a reader looks whether anything is to be written while a roll-out is not over, in milliseconds. */
const LOOK_EVERY_MS = 250;
/** The same otherwise, and how often a process looks whether it has become a reader. */
const IDLE_MS = 1_000;
/** How much longer each next reader waits for the one before it to write, in milliseconds. */
const TURN_MS = 500;

const FINAL: ReadonlySet<RolloutPhase> = new Set(['rolled-back', 'completed']);

/** What a reader knows of versions that no order is known for. */
interface Acquaintance {
  readonly newcomers: readonly Newcomer[];
}

export class OrderReader {
  /** When a word that is due was first seen to be, by upstream. */
  readonly #dueSince = new Map<string, number>();

  constructor(
    private readonly source: OrderSource,
    private readonly orders: Orders,
    private readonly spread: Spread,
    private readonly judge: Judge,
    private readonly acquaintance: Acquaintance,
    private readonly ranking: Ranking,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
  ) {}

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const startedAt = this.clock.now();
    const reading = this.#repeat(signal, () => this.#read(startedAt, signal));
    await Promise.all([reading, this.#write(signal)]);
  }

  /** Readers read; the others hear of orders from them. */
  async #read(startedAt: number, signal: AbortSignal): Promise<void> {
    const { clock, orders, source } = this;
    const now = clock.now();
    const isUntold = !orders.isComplete && now >= startedAt + UNTOLD_MS;
    const isReader = this.ranking.isReader && now >= startedAt + ACQUAINT_MS;
    if (orders.isComplete && isReader) {
      this.#take(await source.follow(now + WATCH_MS, signal));
    } else if (isReader || isUntold) {
      this.#take(await source.list(now + CALL_MS));
    } else {
      await clock.sleepUntil(now + (orders.isComplete ? IDLE_MS : LOOK_EVERY_MS), signal);
    }
  }

  async #write(signal: AbortSignal): Promise<void> {
    await this.#repeat(signal, async () => {
      const isOver = this.orders.all().every(({ phase }) => FINAL.has(phase));
      await this.clock.sleepUntil(this.clock.now() + (isOver ? IDLE_MS : LOOK_EVERY_MS), signal);
      if (!this.ranking.isReader || signal.aborted) return;
      await this.#clearNewcomers();
      for (const rollout of this.orders.all()) await this.#concludeInTurn(rollout);
    });
  }

  async #repeat(signal: AbortSignal, step: () => Promise<void>): Promise<void> {
    let capMs = RETRY_CAP_MS;
    while (!signal.aborted) {
      try {
        await step();
        capMs = RETRY_CAP_MS;
      } catch (error) {
        // Failed calls have lines of their own; an answer that is none must not end the process.
        if (!(error instanceof OutcomeError)) {
          this.log.record('warn', { event: 'orders-unread', message: String(error) });
        }
        await this.clock.sleepUntil(this.clock.now() + this.random.jitter(capMs), signal);
        capMs = Math.min(MAX_RETRY_CAP_MS, capMs * 2);
      }
    }
  }

  #take({ rollouts }: { readonly rollouts: readonly Rollout[] }): void {
    this.spread.order(rollouts);
    this.spread.complete();
  }

  /** An order that was written before the newcomers were met is in the listing. */
  async #clearNewcomers(): Promise<void> {
    const { newcomers } = this.acquaintance;
    if (newcomers.length === 0) return;
    const ordered = await this.source.list(this.clock.now() + CALL_MS);
    this.#take(ordered);
    const isOrdered = ({ upstream, version }: Newcomer) =>
      this.orders.of(upstream)?.version === version;
    const { revision } = ordered;
    const cleared = newcomers.filter((newcomer) => !isOrdered(newcomer));
    this.spread.clear(cleared.map((newcomer) => ({ ...newcomer, revision })));
  }

  /** Readers take turns, so that mostly one of them writes; the write itself is conditional. */
  async #concludeInTurn(rollout: Rollout): Promise<void> {
    const { upstream } = rollout;
    const now = this.clock.now();
    if (!this.judge.isDue(rollout)) {
      this.#dueSince.delete(upstream);
      return;
    }
    const since = this.#dueSince.get(upstream) ?? now;
    this.#dueSince.set(upstream, since);
    if (now - since < this.ranking.readerPlace * TURN_MS) return;
    const isWritten = await this.source.conclude(rollout, now + CALL_MS);
    // Whoever was before, or else the lost answer of an earlier try, is read now.
    if (!isWritten) this.#take(await this.source.list(this.clock.now() + CALL_MS));
    else this.spread.order([{ ...rollout, phase: finalOf(rollout), isNoted: true }]);
  }
}

function finalOf({ phase }: Rollout): Rollout['phase'] {
  if (phase === 'promoting') return 'completed';
  return phase === 'withdrawn' ? 'rolled-back' : phase;
}

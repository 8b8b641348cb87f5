/** Reads orders from the platform and writes their outcomes, in processes that are readers. */
import { OutcomeError, type Rollout, type RolloutPhase } from '../contracts.js';
import { type Log } from '../logs/log.js';
import { type ReaderRole } from '../distribution/reader_role.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Judge } from './judge.js';
import { type Orders } from './orders.js';
import { type OrderSource } from './order_source.js';
import { type Newcomer } from './rollout_roles.js';
import { type RolloutBroadcast } from './rollout_broadcast.js';

/** Timeout of one watch, in milliseconds; several processes hold one, so a broken one does little harm. */
const WATCH_MS = 20_000;
const CALL_MS = 1_000;
/** Cap of the jittered wait after a failed call, in milliseconds; it doubles with each further failure. */
const RETRY_CAP_MS = 500;
const MAX_RETRY_CAP_MS = 4_000;
/**
 * Time after the start in which processes learn of each other, in milliseconds. When many start at
 * once, each would otherwise rank itself as a reader and list the orders.
 */
const READ_DELAY_MS = 500;
/** Time after which a process that got no orders from its peers lists them itself, in milliseconds. */
const LIST_AFTER_MS = 3_000;
/** Interval of checks for something to write while a rollout is not over, in milliseconds. */
const POLL_MS = 250;
/** The same interval otherwise, and that of checks whether this process has become a reader. */
const IDLE_POLL_MS = 1_000;
/** Additional delay before the write of each further reader by rank, in milliseconds. */
const READER_DELAY_MS = 500;

const FINAL_PHASES: ReadonlySet<RolloutPhase> = new Set(['rolled-back', 'completed']);

/** Provides the versions for which no order is known. */
interface KnownVersions {
  readonly newcomers: readonly Newcomer[];
}

export class OrderReader {
  /** Instant since which an outcome has to be written, by upstream. */
  readonly #dueSince = new Map<string, number>();

  constructor(
    private readonly source: OrderSource,
    private readonly orders: Orders,
    private readonly broadcast: RolloutBroadcast,
    private readonly judge: Judge,
    private readonly knownVersions: KnownVersions,
    private readonly role: Pick<ReaderRole, 'isReader' | 'readerIndex'>,
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

  /** Only readers read from the platform; the others get orders from their peers. */
  async #read(startedAt: number, signal: AbortSignal): Promise<void> {
    const { clock, orders, source } = this;
    const now = clock.now();
    const mustList = !orders.isComplete && now >= startedAt + LIST_AFTER_MS;
    const isReader = this.role.isReader && now >= startedAt + READ_DELAY_MS;
    if (orders.isComplete && isReader) {
      this.#merge(await source.follow(now + WATCH_MS, signal));
    } else if (isReader || mustList) {
      this.#merge(await source.list(now + CALL_MS));
    } else {
      await clock.sleepUntil(now + (orders.isComplete ? IDLE_POLL_MS : POLL_MS), signal);
    }
  }

  async #write(signal: AbortSignal): Promise<void> {
    await this.#repeat(signal, async () => {
      const isOver = this.orders.all().every(({ phase }) => FINAL_PHASES.has(phase));
      await this.clock.sleepUntil(this.clock.now() + (isOver ? IDLE_POLL_MS : POLL_MS), signal);
      if (!this.role.isReader || signal.aborted) return;
      await this.#clearNewcomers();
      for (const rollout of this.orders.all()) await this.#writeInTurn(rollout);
    });
  }

  async #repeat(signal: AbortSignal, step: () => Promise<void>): Promise<void> {
    let capMs = RETRY_CAP_MS;
    while (!signal.aborted) {
      try {
        await step();
        capMs = RETRY_CAP_MS;
      } catch (error) {
        // Failed calls are logged elsewhere. An unreadable answer must not end the process.
        if (!(error instanceof OutcomeError)) {
          this.log.record('warn', { event: 'orders-unread', message: String(error) });
        }
        await this.clock.sleepUntil(this.clock.now() + this.random.jitter(capMs), signal);
        capMs = Math.min(MAX_RETRY_CAP_MS, capMs * 2);
      }
    }
  }

  #merge({ rollouts }: { readonly rollouts: readonly Rollout[] }): void {
    this.broadcast.addOrders(rollouts);
    this.broadcast.markComplete();
  }

  /** Clears newcomers without an order. The list has every order that was written before they appeared. */
  async #clearNewcomers(): Promise<void> {
    const { newcomers } = this.knownVersions;
    if (newcomers.length === 0) return;
    const orderList = await this.source.list(this.clock.now() + CALL_MS);
    this.#merge(orderList);
    const isOrdered = ({ upstream, version }: Newcomer) =>
      this.orders.of(upstream)?.version === version;
    const { revision } = orderList;
    const cleared = newcomers.filter((newcomer) => !isOrdered(newcomer));
    this.broadcast.markCleared(cleared.map((newcomer) => ({ ...newcomer, revision })));
  }

  /** Readers wait according to their rank, so that usually one of them writes; the write is conditional. */
  async #writeInTurn(rollout: Rollout): Promise<void> {
    const { upstream } = rollout;
    const now = this.clock.now();
    if (!this.judge.needsWrite(rollout)) {
      this.#dueSince.delete(upstream);
      return;
    }
    const since = this.#dueSince.get(upstream) ?? now;
    this.#dueSince.set(upstream, since);
    if (now - since < this.role.readerIndex * READER_DELAY_MS) return;
    const isWritten = await this.source.writeOutcome(rollout, now + CALL_MS);
    // Reads what another reader wrote, or an earlier write of this process whose answer was lost.
    if (!isWritten) this.#merge(await this.source.list(this.clock.now() + CALL_MS));
    else this.broadcast.addOrders([{ ...rollout, phase: finalOf(rollout), isNoted: true }]);
  }
}

function finalOf({ phase }: Rollout): Rollout['phase'] {
  if (phase === 'promoting') return 'completed';
  return phase === 'withdrawn' ? 'rolled-back' : phase;
}

/** Declares suspects dead that do not refute the suspicion in time. */
import { type Member } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Roster } from './roster.js';

/** Time that a suspect has to refute the suspicion, in milliseconds. */
export const SUSPICION_TIMEOUT_MS = 3_000;
const MAX_CHECK_INTERVAL_MS = 1_000;
/** A wake-up later than this, in milliseconds, means that the process was paused. */
const PAUSE_THRESHOLD_MS = 1_000;

/** A pending suspicion: the record that raised it, and until when it can be refuted. */
interface Suspicion {
  readonly incarnation: number;
  readonly sequence: number;
  readonly deadline: number;
}

export class Suspicions {
  #raised = 0;

  readonly #active = new Map<string, Suspicion>();

  constructor(
    private readonly roster: Roster,
    private readonly clock: Clock,
  ) {
    roster.onUpdate((members) => members.forEach((member) => this.#update(member)));
  }

  /** Number of suspicions received or raised by this process. */
  get raised(): number {
    return this.#raised;
  }

  /** Expires suspicions until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const deadlines = [...this.#active.values()].map(({ deadline }) => deadline);
      const wakeAt = Math.min(this.clock.now() + MAX_CHECK_INTERVAL_MS, ...deadlines);
      await this.clock.sleepUntil(wakeAt, signal);
      if (this.clock.now() - wakeAt > PAUSE_THRESHOLD_MS) this.#restartDeadlines();
      if (!signal.aborted) this.#expire();
    }
  }

  #update({ instance, incarnation, sequence, liveness }: Member): void {
    if (liveness !== 'suspect') {
      this.#active.delete(instance);
      return;
    }
    const known = this.#active.get(instance);
    if (known?.incarnation === incarnation && known.sequence === sequence) return;
    this.#raised += 1;
    this.#active.set(instance, {
      incarnation,
      sequence,
      deadline: this.clock.now() + SUSPICION_TIMEOUT_MS,
    });
  }

  /**
   * Restarts all deadlines after a pause of this process: they have passed while refutations are
   * still unread on its links, so it would declare live members dead and spread that.
   */
  #restartDeadlines(): void {
    const deadline = this.clock.now() + SUSPICION_TIMEOUT_MS;
    for (const [instance, old] of this.#active) this.#active.set(instance, { ...old, deadline });
  }

  #expire(): void {
    const now = this.clock.now();
    for (const [instance, { deadline }] of [...this.#active]) {
      if (deadline > now) continue;
      // Removed in any case: with a deadline in the past, `run` would loop without sleeping.
      this.#active.delete(instance);
      this.roster.setLiveness(instance, 'dead');
    }
  }
}

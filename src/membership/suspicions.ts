/** Takes suspects for dead that do not refute in time. */
import { type Member } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Roster } from './roster.js';

/** A suspect that does not refute for this long is taken for dead, in milliseconds. */
export const SUSPICION_MS = 3_000;
const JUDGE_EVERY_MS = 1_000;
/** Waking up so much too late means that the process was paused, in milliseconds. */
const PAUSED_MS = 1_000;

/** Until when one statement may be refuted. */
interface Suspicion {
  readonly incarnation: number;
  readonly sequence: number;
  readonly deadline: number;
}

export class Suspicions {
  #raised = 0;

  readonly #held = new Map<string, Suspicion>();

  constructor(
    private readonly roster: Roster,
    private readonly clock: Clock,
  ) {
    roster.onNews((members) => members.forEach((member) => this.#note(member)));
  }

  /** How many suspicions were heard of, the own ones included. */
  get raised(): number {
    return this.#raised;
  }

  /** Judges until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const deadlines = [...this.#held.values()].map(({ deadline }) => deadline);
      const wakeAt = Math.min(this.clock.now() + JUDGE_EVERY_MS, ...deadlines);
      await this.clock.sleepUntil(wakeAt, signal);
      if (this.clock.now() - wakeAt > PAUSED_MS) this.#restart();
      if (!signal.aborted) this.#judge();
    }
  }

  #note({ instance, incarnation, sequence, liveness }: Member): void {
    if (liveness !== 'suspect') {
      this.#held.delete(instance);
      return;
    }
    const held = this.#held.get(instance);
    if (held?.incarnation === incarnation && held.sequence === sequence) return;
    this.#raised += 1;
    this.#held.set(instance, { incarnation, sequence, deadline: this.clock.now() + SUSPICION_MS });
  }

  /**
   * A process that was paused finds all deadlines passed while refutations wait unread on its
   * links: it would declare living members dead, and send that on. So all deadlines start anew.
   */
  #restart(): void {
    const deadline = this.clock.now() + SUSPICION_MS;
    for (const [instance, held] of this.#held) this.#held.set(instance, { ...held, deadline });
  }

  #judge(): void {
    const now = this.clock.now();
    for (const [instance, { deadline }] of [...this.#held]) {
      if (deadline > now) continue;
      // Forgotten first: were a passed deadline kept, there would be no sleep until the next look.
      this.#held.delete(instance);
      this.roster.mark(instance, 'dead');
    }
  }
}

/** Forgets dead and departed members, in the end. */
import { type Member } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Roster } from './roster.js';
import { isGone } from './statement.js';

/**
 * A dead member is remembered for this long, in milliseconds. Statements that believe it alive
 * come from processes that were cut off or paused, or from a registration not yet cleaned. They
 * are minutes old at most; one that is older still costs another detection, and no more.
 */
export const REMEMBER_MS = 3_600_000;
/** Dead members remembered at most, about 0.5 MB; the oldest go first. */
export const MAX_REMEMBERED = 2_048;

export class Retention {
  /** Instants from which to forget, oldest first, since all wait equally long. */
  readonly #forgetAt = new Map<string, number>();

  constructor(
    private readonly roster: Roster,
    private readonly clock: Clock,
  ) {
    roster.onNews((members) => members.forEach((member) => this.#note(member)));
  }

  /** Drops what is due. */
  sweep(): void {
    const now = this.clock.now();
    for (const [instance, deadline] of this.#forgetAt) {
      if (deadline > now && this.#forgetAt.size <= MAX_REMEMBERED) return;
      this.#forgetAt.delete(instance);
      this.roster.forget(instance);
    }
  }

  #note(member: Member): void {
    this.#forgetAt.delete(member.instance);
    if (isGone(member)) this.#forgetAt.set(member.instance, this.clock.now() + REMEMBER_MS);
  }
}

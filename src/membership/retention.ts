/** Removes dead and departed members from the roster after a retention period. */
import { type Member } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Roster } from './roster.js';
import { isDeadOrLeft } from './member_record.js';

/**
 * Retention period of dead and departed members, in milliseconds. Records that show them alive come
 * from processes that were partitioned or paused, or from a registration not yet removed, and are
 * usually minutes old at most. An older one only costs another detection of the failure.
 */
export const MEMBER_RETENTION_MS = 3_600_000;
/** Maximum number of dead and departed members, about 0.5 MB; the oldest are removed first. */
export const MAX_RETAINED = 2_048;

export class Retention {
  /** Expiry by instance; in insertion order, since the period is the same for all. */
  readonly #expiresAt = new Map<string, number>();

  constructor(
    private readonly roster: Roster,
    private readonly clock: Clock,
  ) {
    roster.onUpdate((members) => members.forEach((member) => this.#update(member)));
  }

  /** Removes expired members, and the oldest beyond `MAX_RETAINED`. */
  sweep(): void {
    const now = this.clock.now();
    for (const [instance, deadline] of this.#expiresAt) {
      if (deadline > now && this.#expiresAt.size <= MAX_RETAINED) return;
      this.#expiresAt.delete(instance);
      this.roster.forget(instance);
    }
  }

  #update(member: Member): void {
    this.#expiresAt.delete(member.instance);
    if (isDeadOrLeft(member))
      this.#expiresAt.set(member.instance, this.clock.now() + MEMBER_RETENTION_MS);
  }
}

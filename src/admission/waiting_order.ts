/** The ranks of waiting jobs, and the order of those of equal rank while no team is known. */
import { type TeamAccount } from './fair_share.js';

/** A job that waits. */
export interface WaitingJob {
  /** 0 to 9; higher values start first. */
  readonly priority: number;
  /** Instant by which the answer should arrive, in milliseconds since the epoch. */
  readonly targetAt: number;
  /** Expected time for which it will hold a slot, in milliseconds. */
  readonly heldMs: number;
  /** What its team has used. */
  readonly account: TeamAccount;
  /** Whether it can no longer be answered by its target. */
  isLate: boolean;
}

export abstract class WaitingOrder {
  /** Whether `one` starts before `other` for reasons that come before the use of their teams. */
  abstract outranks(one: WaitingJob, other: WaitingJob): boolean;

  /** Whether `one` starts before `other` when the use of their teams makes no difference. */
  abstract comesBefore(one: WaitingJob, other: WaitingJob): boolean;
}

/**
 * Jobs that can still meet their target start before late ones, regardless of arrival. Under
 * overload a FIFO queue serves every job just too late; this one serves as many in time as there are
 * slots for. Among jobs in time, and among late ones, the higher priority starts first, then the
 * earlier target, which belongs to callers that were refused before and have retried.
 */
export class TargetOrder extends WaitingOrder {
  outranks(one: WaitingJob, other: WaitingJob): boolean {
    if (one.isLate !== other.isLate) return other.isLate;
    return one.priority > other.priority;
  }

  comesBefore(one: WaitingJob, other: WaitingJob): boolean {
    if (this.outranks(one, other)) return true;
    return !this.outranks(other, one) && one.targetAt < other.targetAt;
  }
}

/** The higher priority starts first, then the one that came first. */
export class ArrivalOrder extends WaitingOrder {
  outranks(one: WaitingJob, other: WaitingJob): boolean {
    return one.priority > other.priority;
  }

  comesBefore(one: WaitingJob, other: WaitingJob): boolean {
    return this.outranks(one, other);
  }
}

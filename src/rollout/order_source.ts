/** Where operators leave their orders, and read what became of them. */
import { type Rollout } from '../contracts.js';

/** Orders as they stand at one revision. */
export interface Ordered {
  readonly rollouts: readonly Rollout[];
  readonly revision: number;
}

/** Calls throw an `OutcomeError` when the platform cannot be reached by the deadline, in ms since the epoch. */
export abstract class OrderSource {
  /** Reads all orders. */
  abstract list(deadline: number): Promise<Ordered>;

  /** Waits for orders that have changed since the last call; reads all where that is not known. */
  abstract follow(deadline: number, signal: AbortSignal): Promise<Ordered>;

  /**
   * Writes what became of the order, if it is still as it was seen at `rollout.revision`; false if
   * it is not.
   */
  abstract conclude(rollout: Rollout, deadline: number): Promise<boolean>;
}

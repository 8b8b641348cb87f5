/** Where operators write their orders, and read the outcomes. */
import { type Rollout } from '../contracts.js';

/** Orders at one revision. */
export interface Ordered {
  readonly rollouts: readonly Rollout[];
  readonly revision: number;
}

/**
 * Calls throw an `OutcomeError` if the platform cannot be reached by `deadline`, in milliseconds since
 * the epoch.
 */
export abstract class OrderSource {
  /** Reads all orders. */
  abstract list(deadline: number): Promise<Ordered>;

  /** Waits for orders that changed since the last call; reads all if these can't be determined. */
  abstract follow(deadline: number, signal: AbortSignal): Promise<Ordered>;

  /**
   * Writes the outcome of the order if it has not changed since `rollout.revision`; returns false if
   * it has.
   */
  abstract conclude(rollout: Rollout, deadline: number): Promise<boolean>;
}

/** Where operators write their orders, and read the outcomes. */
import { type Rollout } from '../contracts.js';

/** Orders at one revision. */
export interface OrderList {
  readonly rollouts: readonly Rollout[];
  readonly revision: number;
}

/**
 * Calls throw an `OutcomeError` if the platform cannot be reached by `deadline`, in milliseconds since
 * the epoch.
 */
export abstract class OrderSource {
  /** Reads all orders. */
  abstract list(deadline: number): Promise<OrderList>;

  /** Waits for orders that changed since the last call; reads all if these can't be determined. */
  abstract follow(deadline: number, signal: AbortSignal): Promise<OrderList>;

  /**
   * Writes the outcome of the order if it has not changed since `rollout.revision`; returns false if
   * it has.
   */
  abstract writeOutcome(rollout: Rollout, deadline: number): Promise<boolean>;
}

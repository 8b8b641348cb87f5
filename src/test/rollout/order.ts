/** Orders for tests. */
import { type Rollout } from '../../contracts.js';

/** An order with defaults, overridden by `changes`. */
export function orderOf(changes: Partial<Rollout> = {}): Rollout {
  return {
    upstream: 'listings',
    version: 'v2',
    orderedAt: 5,
    revision: 5,
    durationMs: 16_000,
    phase: 'trial',
    isNoted: false,
    isDeleted: false,
    ...changes,
  };
}

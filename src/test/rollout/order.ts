/** Orders for tests. */
import { type Rollout } from '../../contracts.js';

/** An order that differs from a plain one by `changes`. */
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

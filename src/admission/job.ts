/** A request that a limiter runs at its upstream instance. */
import { type Limit as LimitResource } from '../contracts.js';

/** A request, described before it runs. */
export interface Job {
  /** 0 to 9; higher values start first. */
  readonly priority: number;
  /** Jobs of one kind take about the same time. */
  readonly kind?: string;
  /** The team of its caller; absent for callers without one. */
  readonly team?: string | undefined;
  /** Instant by which the answer should arrive, in milliseconds since the epoch; defaults to the deadline. */
  readonly targetAt?: number;
  /** In milliseconds since the epoch. */
  readonly deadline: number;
  /** The named limit of its route, as the current configuration defines it. */
  readonly limit: LimitResource | undefined;
  /** Calls `callback` once the caller no longer waits for the answer. */
  onGone(callback: () => void): void;
}

/** How a job ended at the upstream instance. */
export interface JobResult {
  /** Time until the head of the answer arrived, in milliseconds. */
  readonly headMs: number;
  /** Whether the instance refused it for lack of capacity. */
  readonly isShed: boolean;
}

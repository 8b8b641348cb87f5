/** The orders that a process knows; merging gives the same result regardless of the message order. */
import { type VersionClearance, type Rollout, type RolloutPhase } from '../contracts.js';
import { callEach } from '../runtime/faults.js';

const PHASE_RANK: Readonly<Record<RolloutPhase, number>> = {
  trial: 0,
  proof: 1,
  promoting: 2,
  withdrawn: 3,
  'rolled-back': 4,
  completed: 5,
};

/** Maximum number of remembered versions without an order; an evicted one is looked up again. */
const MAX_CLEARANCES = 1_000;

type Listener = (rollout: Rollout) => void;

/** Whether the rollout is in progress: neither withdrawn, rolled back nor completed. */
export function isUndecided({ phase }: Rollout): boolean {
  return PHASE_RANK[phase] < PHASE_RANK.withdrawn;
}

/** Whether the ordered version must not get any requests. */
export function isRefused({ phase }: Rollout): boolean {
  return phase === 'withdrawn' || phase === 'rolled-back';
}

export function isSameOrder(one: Rollout, other: Rollout): boolean {
  return one.orderedAt === other.orderedAt && one.version === other.version;
}

/** Identifies an order of its upstream: one platform object may be overwritten for another version. */
export function orderNameOf({ version, orderedAt }: Rollout): string {
  return `${version}@${orderedAt}`;
}

/**
 * Holds the newest order of each upstream. Within one order the highest-ranked phase wins, so that a
 * process that missed a verdict cannot revert it; a newer order replaces an older one in any phase.
 */
export class Orders {
  /** Whether all orders are known, from the platform or from a peer that knew all. */
  isComplete = false;

  #generation = 0;

  readonly #rollouts = new Map<string, Rollout>();

  readonly #clearances = new Map<string, VersionClearance>();

  readonly #listeners = new Set<Listener>();

  /** Increases with every change. */
  get generation(): number {
    return this.#generation;
  }

  of(upstream: string): Rollout | undefined {
    return this.#rollouts.get(upstream);
  }

  all(): Rollout[] {
    return [...this.#rollouts.values()];
  }

  clearances(): VersionClearance[] {
    return [...this.#clearances.values()];
  }

  /** Revision at which the version was found to have no order; undefined if that is not known. */
  clearedAt(upstream: string, version: string): number | undefined {
    return this.#clearances.get(clearanceKey(upstream, version))?.revision;
  }

  /** Calls `listener` with each order that is new or has changed its phase. */
  onChanged(listener: Listener): void {
    this.#listeners.add(listener);
  }

  /** Merges a statement on an order; returns whether anything changed. */
  merge(statement: Rollout): boolean {
    const held = this.#rollouts.get(statement.upstream);
    const merged = held ? mergeOrders(held, statement) : statement;
    if (merged === held) return false;
    this.#rollouts.set(statement.upstream, merged);
    this.#generation += 1;
    if (held?.phase === merged.phase && isSameOrder(held, merged)) return true;
    callEach('rollout order', this.#listeners, merged);
    return true;
  }

  markCleared(clearance: VersionClearance): boolean {
    const key = clearanceKey(clearance.upstream, clearance.version);
    const held = this.#clearances.get(key);
    if (held && held.revision >= clearance.revision) return false;
    this.#clearances.delete(key);
    this.#clearances.set(key, clearance);
    const [oldest] = this.#clearances.keys();
    if (this.#clearances.size > MAX_CLEARANCES) this.#clearances.delete(oldest!);
    this.#generation += 1;
    return true;
  }

  /** Records that all orders are known now. */
  markComplete(): void {
    if (this.isComplete) return;
    this.isComplete = true;
    this.#generation += 1;
  }
}

function mergeOrders(held: Rollout, statement: Rollout): Rollout {
  if (!isSameOrder(held, statement)) return isLater(statement, held) ? statement : held;
  const isFurther = PHASE_RANK[statement.phase] > PHASE_RANK[held.phase];
  const merged = {
    ...held,
    phase: isFurther ? statement.phase : held.phase,
    revision: Math.max(held.revision, statement.revision),
    isNoted: held.isNoted || statement.isNoted,
    isDeleted: held.isDeleted || statement.isDeleted,
  };
  const hasChanged =
    isFurther ||
    merged.revision !== held.revision ||
    merged.isNoted !== held.isNoted ||
    merged.isDeleted !== held.isDeleted;
  return hasChanged ? merged : held;
}

/** An overwritten object keeps the revision of its creation; then the higher revision is later. */
function isLater(one: Rollout, other: Rollout): boolean {
  if (one.orderedAt !== other.orderedAt) return one.orderedAt > other.orderedAt;
  return one.revision > other.revision;
}

function clearanceKey(upstream: string, version: string): string {
  return `${upstream} ${version}`;
}

/** The orders that a process knows, merged alike everywhere whatever the order of the news. */
import { type VersionClearance, type Rollout, type RolloutPhase } from '../contracts.js';

const RANK: Readonly<Record<RolloutPhase, number>> = {
  trial: 0,
  proof: 1,
  promoting: 2,
  withdrawn: 3,
  'rolled-back': 4,
  completed: 5,
};

/** Versions that nobody ordered that are remembered; one that is forgotten is looked up again. */
const MAX_CLEARANCES = 1_000;

type Listener = (rollout: Rollout) => void;

/** Whether requests are still being shared between the two versions. */
export function isUndecided({ phase }: Rollout): boolean {
  return RANK[phase] < RANK.withdrawn;
}

/** Whether the version that was ordered must get nothing any more. */
export function isRefused({ phase }: Rollout): boolean {
  return phase === 'withdrawn' || phase === 'rolled-back';
}

export function isSameOrder(one: Rollout, other: Rollout): boolean {
  return one.orderedAt === other.orderedAt && one.version === other.version;
}

/** Names an order among all of its upstream: one object may be written over for another version. */
export function orderNameOf({ version, orderedAt }: Rollout): string {
  return `${version}@${orderedAt}`;
}

/**
 * Holds the newest order for each upstream. Of one order the furthest phase holds, so that a process
 * that missed a verdict cannot take it back; a newer order replaces an older one whatever became of it.
 */
export class Orders {
  /** Whether all orders are known: they were listed by the platform, or told by one who had. */
  isComplete = false;

  #generation = 0;

  readonly #rollouts = new Map<string, Rollout>();

  readonly #clearances = new Map<string, VersionClearance>();

  readonly #listeners = new Set<Listener>();

  /** Rises with every change. */
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

  /** Revision at which it was known that no order asks for the version; undefined if it is not. */
  clearedAt(upstream: string, version: string): number | undefined {
    return this.#clearances.get(keyOf(upstream, version))?.revision;
  }

  /** Calls `listener` with each order that is new or has come further. */
  onChanged(listener: Listener): void {
    this.#listeners.add(listener);
  }

  /** Takes over what is newer; whether it was. */
  merge(statement: Rollout): boolean {
    const held = this.#rollouts.get(statement.upstream);
    const merged = held ? newest(held, statement) : statement;
    if (merged === held) return false;
    this.#rollouts.set(statement.upstream, merged);
    this.#generation += 1;
    if (held?.phase === merged.phase && isSameOrder(held, merged)) return true;
    for (const listener of this.#listeners) listener(merged);
    return true;
  }

  clear(clearance: VersionClearance): boolean {
    const key = keyOf(clearance.upstream, clearance.version);
    const held = this.#clearances.get(key);
    if (held && held.revision >= clearance.revision) return false;
    this.#clearances.delete(key);
    this.#clearances.set(key, clearance);
    const [oldest] = this.#clearances.keys();
    if (this.#clearances.size > MAX_CLEARANCES) this.#clearances.delete(oldest!);
    this.#generation += 1;
    return true;
  }

  /** Notes that all orders are known now. */
  complete(): void {
    if (this.isComplete) return;
    this.isComplete = true;
    this.#generation += 1;
  }
}

function newest(held: Rollout, statement: Rollout): Rollout {
  if (!isSameOrder(held, statement)) return isLater(statement, held) ? statement : held;
  const isFurther = RANK[statement.phase] > RANK[held.phase];
  const merged = {
    ...held,
    phase: isFurther ? statement.phase : held.phase,
    revision: Math.max(held.revision, statement.revision),
    isNoted: held.isNoted || statement.isNoted,
    isDeleted: held.isDeleted || statement.isDeleted,
  };
  const isNews =
    isFurther ||
    merged.revision !== held.revision ||
    merged.isNoted !== held.isNoted ||
    merged.isDeleted !== held.isDeleted;
  return isNews ? merged : held;
}

/** An object that is written over keeps the revision of its creation; then the later sight counts. */
function isLater(one: Rollout, other: Rollout): boolean {
  if (one.orderedAt !== other.orderedAt) return one.orderedAt > other.orderedAt;
  return one.revision > other.revision;
}

function keyOf(upstream: string, version: string): string {
  return `${upstream} ${version}`;
}

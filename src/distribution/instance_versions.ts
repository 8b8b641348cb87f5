/** The version last heard from each instance, kept beyond the end of its process. */
import { type Member } from '../contracts.js';
import { setBounded } from '../runtime/bounded_map.js';

interface InstanceVersion {
  /** Latest incarnation heard from. */
  readonly incarnation: number;
  /** Highest version heard from that incarnation. */
  readonly version: number;
  /** Whether `version` is certain to be the highest that the instance has held so far. */
  readonly isUpperBound: boolean;
  /** Highest version of earlier incarnations; undefined if not known for certain. */
  readonly earlier: number | undefined;
}

/** Maximum number of instances kept: several times the number of instances at the design size. */
const MAX_ENTRIES = 4_096;

export class InstanceVersions {
  readonly #entries = new Map<string, InstanceVersion>();

  /**
   * Records that a member holds a version. `isUpperBound` states that its instance has never held a
   * later one. That is so once the process is ready, unless it reads versions from the platform:
   * then it may have applied versions that no neighbour has heard of.
   */
  record({ instance, incarnation }: Member, version: number, isUpperBound: boolean): void {
    const entry = updatedEntry(this.#entries.get(instance), incarnation, version, isUpperBound);
    setBounded(this.#entries, instance, entry, MAX_ENTRIES);
  }

  /**
   * Returns the highest version heard from the instance before the process that started as
   * `incarnation`; undefined if not known for certain. What that process itself reports does not
   * count: otherwise, a neighbour that restarted at the same time would confirm the process's own
   * report back to it.
   */
  versionBefore(instance: string, incarnation: number): number | undefined {
    const entry = this.#entries.get(instance);
    // A higher incarnation belongs to an earlier process if the instance's clock went back.
    if (!entry || entry.incarnation > incarnation) return undefined;
    if (entry.incarnation === incarnation) return entry.earlier;
    return entry.isUpperBound ? entry.version : undefined;
  }
}

function updatedEntry(
  entry: InstanceVersion | undefined,
  incarnation: number,
  version: number,
  isUpperBound: boolean,
): InstanceVersion {
  if (!entry) return { incarnation, version, isUpperBound, earlier: undefined };
  if (incarnation > entry.incarnation) {
    const earlier = entry.isUpperBound ? entry.version : undefined;
    return { incarnation, version, isUpperBound, earlier };
  }
  return { ...entry, version: Math.max(entry.version, version), isUpperBound };
}

/** The version last heard from each instance, whatever became of the process since. */
import { type Member } from '../contracts.js';
import { setLatest } from '../runtime/latest.js';

interface Entry {
  /** Incarnation that was heard last. */
  readonly incarnation: number;
  /** Highest version heard from that incarnation. */
  readonly version: number;
  /** Whether its instance cannot have held more when it was heard last. */
  readonly isSure: boolean;
  /** Highest version of the incarnations before; undefined if that is not known for sure. */
  readonly earlier: number | undefined;
}

/** Instances remembered at most; at the design size every instance several times over. */
const MAX_ENTRIES = 4_096;

export class Remembered {
  readonly #entries = new Map<string, Entry>();

  /**
   * Notes that a member holds a version. `isSure` says that its instance has not held more: that
   * is so once the process is ready, unless it reads versions from the platform, which it may have
   * put in force before any neighbour heard of them.
   */
  note({ instance, incarnation }: Member, version: number, isSure: boolean): void {
    const entry = succeed(this.#entries.get(instance), incarnation, version, isSure);
    setLatest(this.#entries, instance, entry, MAX_ENTRIES);
  }

  /**
   * Highest version heard from the instance before the process that started as `incarnation`;
   * undefined if it is not known for sure. What that process says of itself does not count: a
   * neighbour that restarted with it would otherwise vouch for it with its own words.
   */
  before(instance: string, incarnation: number): number | undefined {
    const entry = this.#entries.get(instance);
    // A higher incarnation is that of an earlier process if the instance's clock jumped back.
    if (!entry || entry.incarnation > incarnation) return undefined;
    if (entry.incarnation === incarnation) return entry.earlier;
    return entry.isSure ? entry.version : undefined;
  }
}

function succeed(
  entry: Entry | undefined,
  incarnation: number,
  version: number,
  isSure: boolean,
): Entry {
  if (!entry) return { incarnation, version, isSure, earlier: undefined };
  if (incarnation > entry.incarnation) {
    const earlier = entry.isSure ? entry.version : undefined;
    return { incarnation, version, isSure, earlier };
  }
  return { ...entry, version: Math.max(entry.version, version), isSure };
}

/** Tells which endpoints had a free slot at a given time, from the log lines of requests. */
import { type Line } from '../../logs/events.js';

/** Older lines are ignored, in milliseconds: a request holds its slot for about as long. */
const MAX_AGE_MS = 100;

interface SlotObservation {
  readonly at: number;
  readonly instance: string;
  readonly isFree: boolean;
}

/** An endpoint with a free slot. */
export interface FreeSlot {
  readonly instance: string;
  /** Age of the log line that shows the free slot, in milliseconds. */
  readonly ageMs: number;
}

/** Built from `guard-ended` lines, which record how many slots were in use when a request ended. */
export class FreeSlotHistory {
  /** Observations by upstream, in time order. */
  readonly #observations = new Map<string, SlotObservation[]>();

  constructor(lines: readonly Line[]) {
    for (const line of lines) {
      if (line.event !== 'guard-ended' || line.upstream === undefined) continue;
      const { at, instance, inFlight, slots, waiting, upstream } = line;
      const isFree = inFlight < slots && waiting === 0;
      const history = this.#observations.get(upstream) ?? [];
      history.push({ at, instance, isFree });
      this.#observations.set(upstream, history);
    }
    for (const history of this.#observations.values()) history.sort((a, b) => a.at - b.at);
  }

  /**
   * Finds an endpoint whose latest line up to `instant` shows a free slot; `none` if all recent
   * lines show full endpoints, `unknown` if there is no recent line.
   */
  at(upstream: string, instant: number): FreeSlot | 'none' | 'unknown' {
    const observations = this.#observations.get(upstream) ?? [];
    const checked = new Set<string>();
    for (let index = lastIndexUpTo(observations, instant); index >= 0; index--) {
      const { at, instance, isFree } = observations[index]!;
      if (at < instant - MAX_AGE_MS) break;
      if (checked.has(instance)) continue;
      if (isFree) return { instance, ageMs: instant - at };
      checked.add(instance);
    }
    return checked.size > 0 ? 'none' : 'unknown';
  }
}

/** Index of the last observation at or before `instant`; -1 if there is none. */
function lastIndexUpTo(observations: readonly SlotObservation[], instant: number): number {
  let low = 0;
  let high = observations.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (observations[middle]!.at <= instant) low = middle + 1;
    else high = middle;
  }
  return low - 1;
}

/** Which endpoints had a slot free at an instant, as far as lines of requests tell. */
import { type Line } from '../../logs/events.js';

/** What is older than this says nothing of a slot, in milliseconds: work takes about as long. */
const MAX_AGE_MS = 100;

interface Sighting {
  readonly at: number;
  readonly instance: string;
  readonly isFree: boolean;
}

/** Room at some endpoint. */
export interface Room {
  readonly instance: string;
  /** How old the line is that shows it, in milliseconds. */
  readonly ageMs: number;
}

/** Guards write with each request that ends there how many slots were in use. */
export class Rooms {
  /** Sightings by upstream, in order of time. */
  readonly #seen = new Map<string, Sighting[]>();

  constructor(lines: readonly Line[]) {
    for (const line of lines) {
      if (line.event !== 'guard-ended' || line.upstream === undefined) continue;
      const { at, instance, inFlight, slots, waiting, upstream } = line;
      const isFree = inFlight < slots && waiting === 0;
      const seen = this.#seen.get(upstream) ?? [];
      seen.push({ at, instance, isFree });
      this.#seen.set(upstream, seen);
    }
    for (const seen of this.#seen.values()) seen.sort((a, b) => a.at - b.at);
  }

  /** The latest word of each endpoint counts; `unknown` if there is none that is recent. */
  at(upstream: string, instant: number): Room | 'none' | 'unknown' {
    const seen = this.#seen.get(upstream) ?? [];
    const heard = new Set<string>();
    for (let index = lastBefore(seen, instant); index >= 0; index--) {
      const { at, instance, isFree } = seen[index]!;
      if (at < instant - MAX_AGE_MS) break;
      if (heard.has(instance)) continue;
      if (isFree) return { instance, ageMs: instant - at };
      heard.add(instance);
    }
    return heard.size > 0 ? 'none' : 'unknown';
  }
}

/** Index of the last one that is not after `instant`; -1 if there is none. */
function lastBefore(seen: readonly Sighting[], instant: number): number {
  let low = 0;
  let high = seen.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (seen[middle]!.at <= instant) low = middle + 1;
    else high = middle;
  }
  return low - 1;
}

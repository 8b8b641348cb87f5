/** Deals the requests of a route out to the upstreams that it names, by weight. */
import { type Route } from '../contracts.js';

type Part = NonNullable<Route['split']>[number];

/** How far each part is behind its share. */
interface Deal {
  readonly parts: readonly Part[];
  readonly behind: number[];
}

/**
 * Smooth weighted round robin: after any run of requests each part is less than one request off
 * its share. Random choices would stray by the square root of their number, which on a route with
 * few requests is more than a tenth. A part that is short of room keeps its share: its requests
 * are refused, not moved to a part that is not meant to get them.
 */
export class Split {
  readonly #deals = new Map<string, Deal>();

  /** The upstream for the next request of the route. */
  choose({ name, upstream, split }: Route): string {
    if (!split) return upstream;
    let deal = this.#deals.get(name);
    if (!deal || deal.parts !== split) {
      deal = { parts: split, behind: split.map(() => 0) };
      this.#deals.set(name, deal);
    }
    return next(deal);
  }
}

function next({ parts, behind }: Deal): string {
  let total = 0;
  let chosen = 0;
  for (let index = 0; index < parts.length; index++) {
    const { weight } = parts[index]!;
    total += weight;
    behind[index]! += weight;
    if (behind[index]! > behind[chosen]!) chosen = index;
  }
  behind[chosen]! -= total;
  return parts[chosen]!.upstream;
}

/** Distributes the requests of a route over the upstreams that it names, by weight. */
import { type Route } from '../contracts.js';

type Part = NonNullable<Route['split']>[number];

/** The parts of a route, and how far each is behind its share. */
interface RouteState {
  readonly parts: readonly Part[];
  readonly deficits: number[];
}

/**
 * Smooth weighted round robin: after any number of requests the deviation of each part from its
 * share stays bounded, by about one request. Random choices would deviate by the square root of the
 * number of requests, which on a route with few of them is more than a tenth. An overloaded part
 * keeps its share: its requests are refused, and not moved to a part that should not get them.
 */
export class Split {
  readonly #routes = new Map<string, RouteState>();

  /** The upstream for the next request of the route. */
  choose({ name, upstream, split }: Route): string {
    if (!split) return upstream;
    let state = this.#routes.get(name);
    if (!state || state.parts !== split) {
      state = { parts: split, deficits: split.map(() => 0) };
      this.#routes.set(name, state);
    }
    return nextUpstream(state);
  }
}

function nextUpstream({ parts, deficits }: RouteState): string {
  let total = 0;
  let chosen = 0;
  for (let index = 0; index < parts.length; index++) {
    const { weight } = parts[index]!;
    total += weight;
    deficits[index]! += weight;
    if (deficits[index]! > deficits[chosen]!) chosen = index;
  }
  deficits[chosen]! -= total;
  return parts[chosen]!.upstream;
}

/** What all guards have seen of the endpoints of upstreams that are being rolled out. */
import { type Evidence, type Rollout, type RouteAnswers } from '../contracts.js';
import { type Ran } from './observer.js';
import { orderNameOf } from './orders.js';

/** Lives of a process count separately, and versions of its endpoint: no answer is lost or counted twice. */
export function keyOf({ instance, incarnation, version, order }: Evidence): string {
  return `${instance} ${incarnation} ${version} ${order}`;
}

function answersOf({ routes }: Evidence): number {
  return routes.reduce((sum, { answered }) => sum + answered, 0);
}

export class EvidenceBook {
  readonly #held = new Map<string, Evidence>();

  /** Takes over what tells of more answers; whether it does. */
  merge(evidence: Evidence): boolean {
    const key = keyOf(evidence);
    const held = this.#held.get(key);
    if (held && !tellsMore(evidence, held)) return false;
    this.#held.set(key, evidence);
    return true;
  }

  /** All that was counted for an order. */
  of(rollout: Rollout): Evidence[] {
    const name = orderNameOf(rollout);
    return [...this.#held.values()].filter(
      ({ upstream, order }) => upstream === rollout.upstream && order === name,
    );
  }

  all(): Evidence[] {
    return [...this.#held.values()];
  }

  /** Drops what was counted for orders that are decided, or replaced. */
  retain(isWanted: (evidence: Evidence) => boolean): void {
    for (const [key, evidence] of this.#held) if (!isWanted(evidence)) this.#held.delete(key);
  }
}

function tellsMore(evidence: Evidence, held: Evidence): boolean {
  return answersOf(evidence) > answersOf(held);
}

/** Counts the answers of the endpoint beside this process, by route. */
export class AnswerCounter {
  #routes = new Map<string, RouteAnswers>();

  add(route: string, { isFailure, tookMs }: Ran): void {
    const before = this.#routes.get(route) ?? {
      route,
      answered: 0,
      failed: 0,
      timed: 0,
      logSum: 0,
    };
    const isTimed = tookMs !== undefined && !isFailure;
    this.#routes.set(route, {
      route,
      answered: before.answered + 1,
      failed: before.failed + Number(isFailure),
      timed: before.timed + Number(isTimed),
      logSum: before.logSum + (isTimed ? Math.log(Math.max(1, tookMs)) : 0),
    });
  }

  get routes(): RouteAnswers[] {
    return [...this.#routes.values()];
  }

  reset(): void {
    this.#routes = new Map();
  }
}

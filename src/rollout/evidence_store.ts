/** Stores the evidence that guards collect on the endpoints of upstreams during a rollout. */
import { type Evidence, type Rollout, type RouteAnswers } from '../contracts.js';
import { type ObservedAnswer } from './observer.js';
import { orderNameOf } from './orders.js';

/**
 * Key of a piece of evidence. Each life of a process, version of its endpoint and order is counted
 * separately, so that no answer is lost or counted twice.
 */
export function evidenceKey({ instance, incarnation, version, order }: Evidence): string {
  return `${instance} ${incarnation} ${version} ${order}`;
}

function answeredIn({ routes }: Evidence): number {
  return routes.reduce((sum, { answered }) => sum + answered, 0);
}

export class EvidenceStore {
  readonly #evidence = new Map<string, Evidence>();

  /** Stores evidence that counts more answers than the stored one; returns whether it was stored. */
  merge(evidence: Evidence): boolean {
    const key = evidenceKey(evidence);
    const held = this.#evidence.get(key);
    if (held && !hasMoreAnswers(evidence, held)) return false;
    this.#evidence.set(key, evidence);
    return true;
  }

  /** All evidence for an order. */
  of(rollout: Rollout): Evidence[] {
    const name = orderNameOf(rollout);
    return [...this.#evidence.values()].filter(
      ({ upstream, order }) => upstream === rollout.upstream && order === name,
    );
  }

  all(): Evidence[] {
    return [...this.#evidence.values()];
  }

  /** Removes the evidence that is not wanted any more, as its order is decided or replaced. */
  retain(isWanted: (evidence: Evidence) => boolean): void {
    for (const [key, evidence] of this.#evidence)
      if (!isWanted(evidence)) this.#evidence.delete(key);
  }
}

function hasMoreAnswers(evidence: Evidence, held: Evidence): boolean {
  return answeredIn(evidence) > answeredIn(held);
}

/** Counts the answers of this process's own endpoint, by route. */
export class AnswerCounter {
  #routes = new Map<string, RouteAnswers>();

  add(route: string, { isFailure, tookMs }: ObservedAnswer): void {
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

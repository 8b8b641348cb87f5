/** What each team of a pattern asked for and got, and how fairly. */
import { rounded } from '../experiment.js';
import { type RequestKind } from './pattern.js';

/** Work in milliseconds of slot time on a usual instance. */
interface TeamSum {
  asked: number;
  served: number;
  askedMs: number;
  servedMs: number;
}

export interface TeamSummary {
  /** Jain's index of the slot time that teams got, relative to their max-min fair shares. */
  readonly jain: number;
  /** Jain's index of the shares of their requests that were served, over all teams but the one that asks most. */
  readonly jainOthers: number;
  /** Work of the requests of teams that were served, as a share of the work that they asked for. */
  readonly servedWork: number;
  /** Share of its requests that were served, by team. */
  readonly servedByTeam: Readonly<Record<string, number>>;
}

const PLACES = 3;

export class TeamStats {
  readonly #sums = new Map<string, TeamSum>();

  record(team: string | undefined, { workMs }: RequestKind, isServed: boolean): void {
    if (team === undefined) return;
    const sum = this.#sums.get(team) ?? { asked: 0, served: 0, askedMs: 0, servedMs: 0 };
    sum.asked += 1;
    sum.askedMs += workMs;
    if (isServed) {
      sum.served += 1;
      sum.servedMs += workMs;
    }
    this.#sums.set(team, sum);
  }

  get summary(): TeamSummary {
    const sums = [...this.#sums.values()];
    const capacityMs = sums.reduce((total, { servedMs }) => total + servedMs, 0);
    const demandMs = sums.reduce((total, { askedMs }) => total + askedMs, 0);
    const fairMs = maxMinShares(
      sums.map(({ askedMs }) => askedMs),
      capacityMs,
    );
    const most = Math.max(...sums.map(({ askedMs }) => askedMs));
    const others = sums.filter(({ askedMs }) => askedMs < most);
    const named = [...this.#sums].sort(([one], [other]) => (one < other ? -1 : 1));
    return {
      jain: rounded(
        jainIndex(sums.map(({ servedMs }, index) => servedMs / fairMs[index]!)),
        PLACES,
      ),
      jainOthers: rounded(jainIndex(others.map(({ served, asked }) => served / asked)), PLACES),
      servedWork: rounded(capacityMs / Math.max(1, demandMs), PLACES),
      servedByTeam: Object.fromEntries(
        named.map(([team, { served, asked }]) => [team, rounded(served / asked, PLACES)]),
      ),
    };
  }
}

/** Divides `capacity` so that no demand gets more unless all smaller ones are met. */
export function maxMinShares(demands: readonly number[], capacity: number): number[] {
  const shares = demands.map(() => 0);
  const ascending = demands.map((demand, index) => ({ demand, index }));
  ascending.sort((one, other) => one.demand - other.demand);
  let left = capacity;
  ascending.forEach(({ demand, index }, place) => {
    shares[index] = Math.min(demand, left / (demands.length - place));
    left -= shares[index];
  });
  return shares;
}

/** Jain's index of fairness: 1 if all values are equal, 1 / n if one has all. */
export function jainIndex(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
}

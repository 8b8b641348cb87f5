/** Counts how callers were served and how much worth was earned. */
import { type Verdict } from '../../contracts.js';
import { rounded } from '../experiment.js';
import { type RequestKind } from './pattern.js';
import { TeamStats, type TeamSummary } from './team_stats.js';

/** Worth of a late answer as a share of one in time. */
const LATE_SHARE = 0.5;
const WINDOW_MS = 2_000;

interface WorthSum {
  /** Worth if every request were answered in time. */
  owed: number;
  /** Worth of the answers given. */
  earned: number;
}

/** Shares are of all callers; `worst` values are the lowest share of owed worth that was earned. */
export interface Summary extends TeamSummary {
  readonly asked: number;
  readonly worth: number;
  readonly inTarget: number;
  readonly late: number;
  readonly refused: number;
  readonly refusedAgain: number;
  readonly failed: number;
  readonly worstWindow: number;
  readonly worstDataCentre: number;
  readonly worstKind: number;
  readonly worthByKind: Readonly<Record<string, number>>;
  readonly owedByKind: Readonly<Record<string, number>>;
  /** Answers sent between data centres, in megabytes. */
  readonly crossedMb: number;
}

const BYTES_PER_MB = 1_000_000;

export class ReplayStats {
  /** Bytes of answers sent between data centres. */
  crossedBytes = 0;

  readonly teams = new TeamStats();

  readonly #counts = { asked: 0, inTarget: 0, late: 0, refused: 0, refusedAgain: 0, failed: 0 };

  readonly #sums = {
    all: new Map<string, WorthSum>(),
    window: new Map<string, WorthSum>(),
    dataCentre: new Map<string, WorthSum>(),
    kind: new Map<string, WorthSum>(),
  };

  constructor(private readonly startAt: number) {}

  recordServed(kind: RequestKind, dataCentre: string, firstAt: number, now: number): void {
    const isLate = now > firstAt + kind.targetMs;
    this.#counts.asked += 1;
    this.#counts[isLate ? 'late' : 'inTarget'] += 1;
    this.#add(kind, dataCentre, firstAt, isLate ? LATE_SHARE : 1);
  }

  recordLost(
    kind: RequestKind,
    dataCentre: string,
    firstAt: number,
    verdict: Verdict,
    refusals: number,
  ): void {
    this.#counts.asked += 1;
    this.#counts[verdict === 'not-run' ? 'refused' : 'failed'] += 1;
    if (refusals > 1) this.#counts.refusedAgain += 1;
    this.#add(kind, dataCentre, firstAt, 0);
  }

  get summary(): Summary {
    const { asked, ...counts } = this.#counts;
    const share = (count: number) => rounded(count / Math.max(1, asked), 3);
    return {
      asked,
      worth: lowestShare(this.#sums.all),
      inTarget: share(counts.inTarget),
      late: share(counts.late),
      refused: share(counts.refused),
      refusedAgain: share(counts.refusedAgain),
      failed: share(counts.failed),
      worstWindow: lowestShare(this.#sums.window),
      worstDataCentre: lowestShare(this.#sums.dataCentre),
      worstKind: lowestShare(this.#sums.kind),
      worthByKind: byKey(this.#sums.kind, ({ owed, earned }) => rounded(earned / owed, 3)),
      owedByKind: byKey(this.#sums.kind, ({ owed }) => owed),
      crossedMb: rounded(this.crossedBytes / BYTES_PER_MB, 1),
      ...this.teams.summary,
    };
  }

  #add(kind: RequestKind, dataCentre: string, firstAt: number, share: number): void {
    const window = String(Math.floor((firstAt - this.startAt) / WINDOW_MS));
    const keys = { all: '', window, dataCentre, kind: kind.name };
    for (const [group, key] of Object.entries(keys) as [keyof typeof keys, string][]) {
      const sum = this.#sums[group].get(key) ?? { owed: 0, earned: 0 };
      sum.owed += kind.worth;
      sum.earned += kind.worth * share;
      this.#sums[group].set(key, sum);
    }
  }
}

function byKey(
  sums: ReadonlyMap<string, WorthSum>,
  value: (sum: WorthSum) => number,
): Record<string, number> {
  return Object.fromEntries([...sums].map(([key, sum]) => [key, value(sum)]));
}

function lowestShare(sums: ReadonlyMap<string, WorthSum>): number {
  const shares = [...sums.values()].map(({ owed, earned }) => earned / owed);
  return shares.length === 0 ? 0 : rounded(Math.min(...shares), 3);
}

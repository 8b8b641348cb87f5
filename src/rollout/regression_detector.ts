/** Detects whether a version on trial is worse than the old one; performs no I/O. */
import { type Evidence, type RouteAnswers } from '../contracts.js';
import { evidenceKey } from './evidence_store.js';

/** Minimum share of failures assumed for a bad version. */
const MIN_BAD_SHARE = 0.25;
/** Minimum share of failures of a bad version, as a multiple of the share of a good one. */
const BAD_FACTOR = 3;
/** Share of failures assumed for a good version: a multiple of the old version's, plus an offset. */
const GOOD_FACTOR = 1.5;
const GOOD_OFFSET = 0.02;
const MAX_GOOD_SHARE = 0.5;
const MAX_BAD_SHARE = 0.95;
/** Factor by which a version must be slower to count as bad. */
const SLOW_FACTOR = 2.5;
/** Suspicion at which a version is withdrawn: a sound one reaches it about once in e^7 runs of the test. */
const WITHDRAW_SUSPICION = 7;
/** Maximum suspicion from one of several endpoints: the endpoint may be bad, and not the version. */
const MAX_SUSPICION_OF_ONE = 3.5;
/** Total number of failures from which the share of failures alone can decide. */
const MANY_FAILURES = 20;
/** Maximum number of these from one of several endpoints. */
const MAX_FAILURES_OF_ONE = 12;
/** Half-life of the old version's answers, in milliseconds. */
const HALF_LIFE_MS = 3_000;
/** Minimum number of timed answers of the old version, below which times are not compared. */
const MIN_TIMED = 10;

/** Sums over the old version's answers, which decay over time. */
interface Baseline {
  answered: number;
  failed: number;
  timed: number;
  logSum: number;
}

/** CUSUM values of one endpoint, for failures and for slowness; neither falls below 0. */
interface Suspicion {
  failures: number;
  slowness: number;
}

/** How many answers there are on a route. */
export interface Coverage {
  readonly route: string;
  /** Answers of the old version; older ones count less. */
  readonly old: number;
  /** Answers of the version on trial. */
  readonly tried: number;
}

/** The current result for the version on trial. */
export interface Finding {
  readonly isBad: boolean;
  /** The reason, for the log. */
  readonly reason: string;
  /** Highest suspicion on any route; the version is withdrawn at 1. */
  readonly suspicion: number;
  /** Answers of the version on trial. */
  readonly answered: number;
  readonly failed: number;
}

/**
 * Sequential tests (CUSUM, by route and endpoint) that compare new answers with those of the old
 * version in the same seconds, as a burst or a failing dependency affects both versions alike. Sums
 * since the start would hide a version that becomes bad late behind its good answers before.
 */
export class RegressionDetector {
  readonly #lastAnswers = new Map<string, RouteAnswers>();

  readonly #baseline = new Map<string, Baseline>();

  readonly #suspicions = new Map<string, Map<string, Suspicion>>();

  /** Answers of the version on trial, by route. */
  readonly #tried = new Map<string, number>();

  /** Failures of the version on trial, by endpoint. */
  readonly #failed = new Map<string, number>();

  readonly #total = { answered: 0, failed: 0, oldAnswered: 0, oldFailed: 0 };

  #updatedAt: number | undefined;

  constructor(private readonly version: string) {}

  /** Evaluates all evidence for the order; `now` in milliseconds since the epoch. */
  look(evidence: readonly Evidence[], now: number): Finding {
    this.#decay(now);
    const isOnTrial = ({ version }: Evidence) => version === this.version;
    for (const old of evidence) if (!isOnTrial(old)) this.#addBaseline(old);
    const endpoints = evidence.filter(isOnTrial);
    for (const endpoint of endpoints) this.#addTrial(endpoint);
    return this.#finding(endpoints.length);
  }

  /** Routes that the old version answered, with the number of answers of both versions. */
  get coverage(): readonly Coverage[] {
    return [...this.#baseline].map(([route, { answered }]) => ({
      route,
      old: answered,
      tried: this.#tried.get(route) ?? 0,
    }));
  }

  #decay(now: number): void {
    const factor = 2 ** (-(now - (this.#updatedAt ?? now)) / HALF_LIFE_MS);
    this.#updatedAt = now;
    for (const baseline of this.#baseline.values()) {
      baseline.answered *= factor;
      baseline.failed *= factor;
      baseline.timed *= factor;
      baseline.logSum *= factor;
    }
  }

  #addBaseline(evidence: Evidence): void {
    for (const { route, answered, failed, timed, logSum } of this.#newAnswers(evidence)) {
      const baseline = this.#baseline.get(route) ?? { answered: 0, failed: 0, timed: 0, logSum: 0 };
      baseline.answered += answered;
      baseline.failed += failed;
      baseline.timed += timed;
      baseline.logSum += logSum;
      this.#baseline.set(route, baseline);
      this.#total.oldAnswered += answered;
      this.#total.oldFailed += failed;
    }
  }

  #addTrial(evidence: Evidence): void {
    const endpoint = evidenceKey(evidence);
    for (const answers of this.#newAnswers(evidence)) {
      const { route } = answers;
      const byEndpoint = this.#suspicions.get(route) ?? new Map<string, Suspicion>();
      this.#suspicions.set(route, byEndpoint);
      const before = byEndpoint.get(endpoint) ?? { failures: 0, slowness: 0 };
      const baseline = this.#baseline.get(route);
      byEndpoint.set(endpoint, {
        failures: Math.max(0, before.failures + failureEvidence(answers, baseline)),
        slowness: Math.max(0, before.slowness + slownessEvidence(answers, baseline)),
      });
      this.#tried.set(route, (this.#tried.get(route) ?? 0) + answers.answered);
      this.#total.answered += answers.answered;
      this.#total.failed += answers.failed;
      this.#failed.set(endpoint, (this.#failed.get(endpoint) ?? 0) + answers.failed);
    }
  }

  /** Answers since the last evaluation. */
  #newAnswers(evidence: Evidence): RouteAnswers[] {
    return evidence.routes.map((answers) => {
      const key = `${evidenceKey(evidence)} ${answers.route}`;
      const before = this.#lastAnswers.get(key);
      this.#lastAnswers.set(key, answers);
      return before ? subtract(answers, before) : answers;
    });
  }

  #finding(endpoints: number): Finding {
    const maxOfOne = endpoints > 1 ? MAX_SUSPICION_OF_ONE : WITHDRAW_SUSPICION;
    let suspicion = 0;
    let reason = '';
    for (const [route, byEndpoint] of this.#suspicions) {
      for (const sign of ['failures', 'slowness'] as const) {
        const sum = [...byEndpoint.values()].reduce(
          (all, of) => all + Math.min(maxOfOne, of[sign]),
          0,
        );
        if (sum <= suspicion) continue;
        suspicion = sum;
        reason = `${sign} on ${route}`;
      }
    }
    const { answered, failed } = this.#total;
    const failsTooOften = this.#failsTooOften(endpoints > 1 ? MAX_FAILURES_OF_ONE : MANY_FAILURES);
    return {
      isBad: failsTooOften || suspicion >= WITHDRAW_SUSPICION,
      reason: failsTooOften ? `${failed} of ${answered} failed` : reason,
      suspicion: suspicion / WITHDRAW_SUSPICION,
      answered,
      failed,
    };
  }

  /** Catches a share of failures that is too small for the sequential tests, once many have added up. */
  #failsTooOften(maxOfOne: number): boolean {
    const { answered, oldAnswered, oldFailed } = this.#total;
    const failed = [...this.#failed.values()].reduce((sum, of) => sum + Math.min(maxOfOne, of), 0);
    if (failed < MANY_FAILURES) return false;
    const expected = oldAnswered > 0 ? oldFailed / oldAnswered : 0;
    return failed / answered > BAD_FACTOR * expected + GOOD_OFFSET;
  }
}

/** Log-likelihood ratio of the answers under a bad version to those under a good one. */
function failureEvidence(
  { answered, failed }: RouteAnswers,
  baseline: Baseline | undefined,
): number {
  const share = baseline && baseline.answered > 0 ? baseline.failed / baseline.answered : 0;
  const good = Math.min(MAX_GOOD_SHARE, GOOD_OFFSET + GOOD_FACTOR * share);
  const bad = Math.min(MAX_BAD_SHARE, Math.max(MIN_BAD_SHARE, BAD_FACTOR * good));
  return failed * Math.log(bad / good) + (answered - failed) * Math.log((1 - bad) / (1 - good));
}

/** Sum of the log times above those of the old version, minus the tolerated difference. */
function slownessEvidence({ timed, logSum }: RouteAnswers, baseline: Baseline | undefined): number {
  if (!baseline || baseline.timed < MIN_TIMED) return 0;
  return logSum - timed * (baseline.logSum / baseline.timed + Math.log(SLOW_FACTOR));
}

function subtract(answers: RouteAnswers, before: RouteAnswers): RouteAnswers {
  return {
    route: answers.route,
    answered: answers.answered - before.answered,
    failed: answers.failed - before.failed,
    timed: answers.timed - before.timed,
    logSum: answers.logSum - before.logSum,
  };
}

/** Whether a version on trial is worse than the one before it; no input or output. */
import { type Evidence, type RouteAnswers } from '../contracts.js';
import { keyOf } from './evidence_book.js';

/** Least share of failures of a bad version. */
const BAD_SHARE = 0.25;
/** The same as a multiple of what is expected of a good one. */
const BAD_FACTOR = 3;
/** Failures that are expected of a good version, as a multiple of the old one's, and besides. */
const GOOD_FACTOR = 1.5;
const GOOD_BESIDES = 0.02;
const MOST_EXPECTED = 0.5;
const MOST_BAD = 0.95;
/** How many times slower a version must be to count as bad. */
const SLOW_FACTOR = 2.5;
/** Suspicion at which a version is withdrawn: a sound one reaches it once in e^7 stretches or so. */
const WITHDRAW_AT = 7;
/** What one endpoint may add to that where there are others: it may be the endpoint that is bad. */
const MOST_OF_ONE = 3.5;
/** Failed answers in all after which the share of failures alone decides. */
const MANY_FAILURES = 20;
/** Of these, what one endpoint may add where there are others. */
const MANY_OF_ONE = 12;
/** The old version's answers count half after so long, in milliseconds. */
const HALF_LIFE_MS = 3_000;
/** Old answers without which nothing is known of how long work usually takes. */
const MIN_TIMED = 10;

/** Sums of answers that fade. */
interface Usual {
  answered: number;
  failed: number;
  timed: number;
  logSum: number;
}

/** Suspicion by endpoint, of failures and of slowness; neither falls below 0. */
interface Suspicion {
  failures: number;
  slowness: number;
}

/** How well a route has been tried. */
export interface Coverage {
  readonly route: string;
  /** Answers of the old version; those of long ago count less. */
  readonly old: number;
  /** Answers of the version on trial. */
  readonly tried: number;
}

/** What is known of the version on trial. */
export interface Finding {
  readonly isBad: boolean;
  /** Why, in words for a line in the log. */
  readonly reason: string;
  /** Highest suspicion on any route, as a share of the one at which the version is withdrawn. */
  readonly suspicion: number;
  /** Answers of the version on trial. */
  readonly answered: number;
  readonly failed: number;
}

/**
 * Sequential tests (CUSUM, by route and endpoint) of the answers that came since the last look, against
 * what the old version did in the same seconds: a burst, or a failing call beneath, meets both alike.
 * Sums since the start would hide a version that turns bad late behind what it did well before.
 */
export class Judgement {
  readonly #seen = new Map<string, RouteAnswers>();

  readonly #usual = new Map<string, Usual>();

  readonly #suspicions = new Map<string, Map<string, Suspicion>>();

  /** Answers of the version on trial, by route. */
  readonly #tried = new Map<string, number>();

  /** Failures of the version on trial, by endpoint. */
  readonly #failed = new Map<string, number>();

  readonly #total = { answered: 0, failed: 0, oldAnswered: 0, oldFailed: 0 };

  #lookedAt: number | undefined;

  constructor(private readonly version: string) {}

  /** Takes in all evidence for the order; `now` in milliseconds. */
  look(evidence: readonly Evidence[], now: number): Finding {
    this.#fade(now);
    const isOnTrial = ({ version }: Evidence) => version === this.version;
    for (const old of evidence) if (!isOnTrial(old)) this.#learn(old);
    const endpoints = evidence.filter(isOnTrial);
    for (const endpoint of endpoints) this.#weigh(endpoint);
    return this.#finding(endpoints.length);
  }

  /** Routes that the old version answered, with how often the version on trial did. */
  get coverage(): readonly Coverage[] {
    return [...this.#usual].map(([route, { answered }]) => ({
      route,
      old: answered,
      tried: this.#tried.get(route) ?? 0,
    }));
  }

  #fade(now: number): void {
    const factor = 2 ** (-(now - (this.#lookedAt ?? now)) / HALF_LIFE_MS);
    this.#lookedAt = now;
    for (const usual of this.#usual.values()) {
      usual.answered *= factor;
      usual.failed *= factor;
      usual.timed *= factor;
      usual.logSum *= factor;
    }
  }

  #learn(evidence: Evidence): void {
    for (const { route, answered, failed, timed, logSum } of this.#news(evidence)) {
      const usual = this.#usual.get(route) ?? { answered: 0, failed: 0, timed: 0, logSum: 0 };
      usual.answered += answered;
      usual.failed += failed;
      usual.timed += timed;
      usual.logSum += logSum;
      this.#usual.set(route, usual);
      this.#total.oldAnswered += answered;
      this.#total.oldFailed += failed;
    }
  }

  #weigh(evidence: Evidence): void {
    const endpoint = keyOf(evidence);
    for (const answers of this.#news(evidence)) {
      const { route } = answers;
      const byEndpoint = this.#suspicions.get(route) ?? new Map<string, Suspicion>();
      this.#suspicions.set(route, byEndpoint);
      const before = byEndpoint.get(endpoint) ?? { failures: 0, slowness: 0 };
      const usual = this.#usual.get(route);
      byEndpoint.set(endpoint, {
        failures: Math.max(0, before.failures + weightOfFailures(answers, usual)),
        slowness: Math.max(0, before.slowness + weightOfTimes(answers, usual)),
      });
      this.#tried.set(route, (this.#tried.get(route) ?? 0) + answers.answered);
      this.#total.answered += answers.answered;
      this.#total.failed += answers.failed;
      this.#failed.set(endpoint, (this.#failed.get(endpoint) ?? 0) + answers.failed);
    }
  }

  /** What came since the last look. */
  #news(evidence: Evidence): RouteAnswers[] {
    return evidence.routes.map((answers) => {
      const key = `${keyOf(evidence)} ${answers.route}`;
      const before = this.#seen.get(key);
      this.#seen.set(key, answers);
      return before ? less(answers, before) : answers;
    });
  }

  #finding(endpoints: number): Finding {
    const most = endpoints > 1 ? MOST_OF_ONE : WITHDRAW_AT;
    let suspicion = 0;
    let reason = '';
    for (const [route, byEndpoint] of this.#suspicions) {
      for (const sign of ['failures', 'slowness'] as const) {
        const sum = [...byEndpoint.values()].reduce((all, of) => all + Math.min(most, of[sign]), 0);
        if (sum <= suspicion) continue;
        suspicion = sum;
        reason = `${sign} on ${route}`;
      }
    }
    const { answered, failed } = this.#total;
    const isOften = this.#failsTooOften(endpoints > 1 ? MANY_OF_ONE : MANY_FAILURES);
    return {
      isBad: isOften || suspicion >= WITHDRAW_AT,
      reason: isOften ? `${failed} of ${answered} failed` : reason,
      suspicion: suspicion / WITHDRAW_AT,
      answered,
      failed,
    };
  }

  /** A small share of failures needs many answers to be told from chance; those add up all the same. */
  #failsTooOften(mostOfOne: number): boolean {
    const { answered, oldAnswered, oldFailed } = this.#total;
    const failed = [...this.#failed.values()].reduce((sum, of) => sum + Math.min(mostOfOne, of), 0);
    if (failed < MANY_FAILURES) return false;
    const expected = oldAnswered > 0 ? oldFailed / oldAnswered : 0;
    return failed / answered > BAD_FACTOR * expected + GOOD_BESIDES;
  }
}

/** Logarithm of how much likelier the failures are under a bad version than under a good one. */
function weightOfFailures({ answered, failed }: RouteAnswers, usual: Usual | undefined): number {
  const share = usual && usual.answered > 0 ? usual.failed / usual.answered : 0;
  const good = Math.min(MOST_EXPECTED, GOOD_BESIDES + GOOD_FACTOR * share);
  const bad = Math.min(MOST_BAD, Math.max(BAD_SHARE, BAD_FACTOR * good));
  return failed * Math.log(bad / good) + (answered - failed) * Math.log((1 - bad) / (1 - good));
}

/** How far the times lie above those of the old version, less what is tolerated. */
function weightOfTimes({ timed, logSum }: RouteAnswers, usual: Usual | undefined): number {
  if (!usual || usual.timed < MIN_TIMED) return 0;
  return logSum - timed * (usual.logSum / usual.timed + Math.log(SLOW_FACTOR));
}

function less(answers: RouteAnswers, before: RouteAnswers): RouteAnswers {
  return {
    route: answers.route,
    answered: answers.answered - before.answered,
    failed: answers.failed - before.failed,
    timed: answers.timed - before.timed,
    logSum: answers.logSum - before.logSum,
  };
}

/** The phases of a rollout and the share of requests in each; performs no I/O. */
import { type Rollout, type RolloutPhase } from '../contracts.js';
import { type Coverage, type Finding } from './regression_detector.js';

/** Part of the order's time for the trial. Some versions become bad only after seconds. */
const TRIAL_PART = 0.42;
/** Minimum time of the trial, in milliseconds, unless it exceeds `MAX_TRIAL_PART` of the order's time. */
const MIN_TRIAL_MS = 6_000;
const MAX_TRIAL_PART = 0.6;
/** Part of the order's time after which a version still in trial, for lack of answers, is withdrawn. */
const GIVE_UP_PART = 0.85;
/** Time of the proof, in milliseconds: twice what its evidence takes to reach the judging processes. */
const PROOF_MS = 1_200;
/** Time for the old version to finish its requests before it may stop, in milliseconds. */
const PROMOTE_MS = 1_000;
/** Suspicion from which a rollout does not advance; the version is withdrawn at 1. */
const MAX_SUSPICION = 0.5;
/** Answers needed to end the trial: in total, in total at `MAX_TRIAL_PART`, and on each used route. */
const MIN_TRIED = 30;
const MIN_TRIED_LATE = 8;
const MIN_TRIED_BY_ROUTE = 3;
/** Number of the old version's answers from which a route counts as used. */
const MIN_USED = 50;

/**
 * Part of the allowed share that a trial takes on average. The rest is for the proof, and for requests
 * between the first bad answers and the arrival of the verdict at the last process.
 */
const TRIAL_SHARE_OF_ALLOWED = 0.6;
/** Length of a burst of trial requests, and of the period between their starts, in milliseconds. */
const BURST_MS = 400;
const PERIOD_MS = 1_600;
/** Share of first attempts during the proof. */
const PROOF_SHARE = 0.35;
/** Assumed share of slots in use at the endpoints of the old version. */
const ASSUMED_LOAD = 0.75;

/** What the version on trial gets at an instant. */
export interface PhaseShare {
  /** Share of first attempts, 0 to 1. */
  readonly share: number;
  /** Number of the burst: in each burst other endpoints take the share. */
  readonly turn: number;
}

/**
 * Some versions are bad only under load, which a small share of evenly spread requests does not
 * show. So the share is sent in bursts, to as few endpoints as can serve it with all slots in use.
 */
export function phaseShare(phase: RolloutPhase, allowedShare: number, now: number): PhaseShare {
  const turn = Math.floor(now / PERIOD_MS);
  if (phase === 'proof') return { share: PROOF_SHARE, turn };
  if (phase !== 'trial' || now % PERIOD_MS >= BURST_MS) return { share: 0, turn };
  const share = allowedShare * TRIAL_SHARE_OF_ALLOWED * (PERIOD_MS / BURST_MS);
  return { share: Math.min(1, share), turn };
}

/** Number of endpoints on trial that take `share`, beside `stable` endpoints of the same size. */
export function trialEndpointCount(share: number, stable: number): number {
  return Math.max(1, Math.floor(share * stable * ASSUMED_LOAD));
}

/** Input for the choice of the next phase; times in milliseconds. */
export interface Progress {
  readonly sinceOrderMs: number;
  readonly sincePhaseMs: number;
  readonly finding: Finding;
  readonly coverage: readonly Coverage[];
}

/** The phase that follows now; undefined if the rollout stays in its phase. */
export function nextPhase(rollout: Rollout, progress: Progress): RolloutPhase | undefined {
  const { finding, sinceOrderMs, sincePhaseMs } = progress;
  if (finding.isBad) return 'withdrawn';
  if (rollout.phase !== 'trial' && rollout.phase !== 'proof') return undefined;
  if (sinceOrderMs >= rollout.durationMs * GIVE_UP_PART) return 'withdrawn';
  if (finding.suspicion >= MAX_SUSPICION) return undefined;
  if (rollout.phase === 'proof') return sincePhaseMs >= PROOF_MS ? 'promoting' : undefined;
  return isTried(rollout, progress) ? 'proof' : undefined;
}

/** Whether the old version may stop, as it has got no requests for long enough. */
export function mayComplete({ phase }: Rollout, sincePhaseMs: number): boolean {
  return phase === 'promoting' && sincePhaseMs >= PROMOTE_MS;
}

function isTried({ durationMs }: Rollout, { sinceOrderMs, finding, coverage }: Progress): boolean {
  const maxTrialMs = durationMs * MAX_TRIAL_PART;
  const trialMs = Math.min(maxTrialMs, Math.max(durationMs * TRIAL_PART, MIN_TRIAL_MS));
  if (sinceOrderMs < trialMs) return false;
  const used = coverage.filter(({ old }) => old >= MIN_USED);
  const areRoutesTried = used.every(({ tried }) => tried >= MIN_TRIED_BY_ROUTE);
  if (finding.answered >= MIN_TRIED && areRoutesTried) return true;
  if (sinceOrderMs < maxTrialMs) return false;
  // The upstream gets no requests: there is no evidence to wait for, and no caller at risk.
  const isIdle = coverage.every(({ old }) => old < 1);
  return isIdle || finding.answered >= MIN_TRIED_LATE;
}

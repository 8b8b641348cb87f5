/** How a roll-out goes on from phase to phase, and what share each gives; no input or output. */
import { type Rollout, type RolloutPhase } from '../contracts.js';
import { type Coverage, type Finding } from './judgement.js';

/** The part of its time that a version is on trial. Some turn bad only after seconds. */
const TRIAL_PART = 0.42;
/** At least so long, in milliseconds, unless that would leave too little of the order's time. */
const MIN_TRIAL_MS = 6_000;
const MAX_TRIAL_PART = 0.6;
/** The part of its time by which a version that is still on trial, for lack of answers, is withdrawn. */
const GIVE_UP_PART = 0.85;
/** How long a large share is given, in milliseconds: the way of its evidence to those who judge, twice. */
const PROOF_MS = 1_200;
/** How long the old version has for what it has begun before it may stop, in milliseconds. */
const PROMOTE_MS = 1_000;
/** Suspicion above which a roll-out does not go on, as a share of the one at which it ends. */
const DOUBT = 0.5;
/** Answers from which a version counts as tried, in all; once time runs out; and on each used route. */
const MIN_TRIED = 30;
const MIN_TRIED_LATE = 8;
const MIN_TRIED_BY_ROUTE = 3;
/** Answers of the old version from which a route counts as used. */
const USED_ROUTE = 50;

/**
 * Part of the allowed share that a trial takes in the mean. The rest is for the proof, and for what
 * still comes between the first bad answer and the last process that hears of it.
 */
const TRIAL_OF_ALLOWED = 0.6;
/** The trial's requests come in bursts of so long, in milliseconds, once in each period of so long. */
const BURST_MS = 400;
const PERIOD_MS = 1_600;
/** Share of the requests given for the proof. */
const PROOF_SHARE = 0.35;
/** Share of their slots that old endpoints are taken to have in use. */
const USUAL_LOAD = 0.75;

/** What a phase gives to the version on trial at an instant. */
export interface PhaseShare {
  /** Share of the first attempts. */
  readonly share: number;
  /** Number of the burst: in each other endpoints go first. */
  readonly turn: number;
}

/**
 * Some versions are bad only under load, which a small share spread evenly never shows. So it is
 * given in bursts, and to as few endpoints as carry it with their slots full.
 */
export function shareOf(phase: RolloutPhase, allowedShare: number, now: number): PhaseShare {
  const turn = Math.floor(now / PERIOD_MS);
  if (phase === 'proof') return { share: PROOF_SHARE, turn };
  if (phase !== 'trial' || now % PERIOD_MS >= BURST_MS) return { share: 0, turn };
  const share = allowedShare * TRIAL_OF_ALLOWED * (PERIOD_MS / BURST_MS);
  return { share: Math.min(1, share), turn };
}

/** How many of the endpoints on trial take a share that `stable` endpoints as large carry otherwise. */
export function countFor(share: number, stable: number): number {
  return Math.max(1, Math.floor(share * stable * USUAL_LOAD));
}

/** What is known when the next phase is asked for; times in milliseconds. */
export interface Progress {
  readonly sinceOrderMs: number;
  readonly sincePhaseMs: number;
  readonly finding: Finding;
  readonly coverage: readonly Coverage[];
}

/** The phase that follows now; undefined if the roll-out stays where it is. */
export function nextPhase(rollout: Rollout, progress: Progress): RolloutPhase | undefined {
  const { finding, sinceOrderMs, sincePhaseMs } = progress;
  if (finding.isBad) return 'withdrawn';
  if (rollout.phase !== 'trial' && rollout.phase !== 'proof') return undefined;
  if (sinceOrderMs >= rollout.durationMs * GIVE_UP_PART) return 'withdrawn';
  if (finding.suspicion >= DOUBT) return undefined;
  if (rollout.phase === 'proof') return sincePhaseMs >= PROOF_MS ? 'promoting' : undefined;
  return isTried(rollout, progress) ? 'proof' : undefined;
}

/** Whether the old version may stop: it has been given nothing for long enough. */
export function mayComplete({ phase }: Rollout, sincePhaseMs: number): boolean {
  return phase === 'promoting' && sincePhaseMs >= PROMOTE_MS;
}

function isTried({ durationMs }: Rollout, { sinceOrderMs, finding, coverage }: Progress): boolean {
  const longest = durationMs * MAX_TRIAL_PART;
  const trialMs = Math.min(longest, Math.max(durationMs * TRIAL_PART, MIN_TRIAL_MS));
  if (sinceOrderMs < trialMs) return false;
  const used = coverage.filter(({ old }) => old >= USED_ROUTE);
  const areRoutesTried = used.every(({ tried }) => tried >= MIN_TRIED_BY_ROUTE);
  if (finding.answered >= MIN_TRIED && areRoutesTried) return true;
  if (sinceOrderMs < longest) return false;
  // Nobody asks for the upstream: there is nothing to learn, and nobody to be harmed.
  const isIdle = coverage.every(({ old }) => old < 1);
  return isIdle || finding.answered >= MIN_TRIED_LATE;
}

/** Judges versions on trial by the collected evidence, and advances the phases of rollouts. */
import { type Rollout } from '../contracts.js';
import { type Log } from '../logs/log.js';
import { type Clock } from '../runtime/clock.js';
import { type EvidenceStore } from './evidence_store.js';
import { type Finding, RegressionDetector } from './regression_detector.js';
import { isSameOrder, isUndecided, type Orders } from './orders.js';
import { type RolloutBroadcast } from './rollout_broadcast.js';
import { mayComplete, nextPhase } from './steps.js';

/** State of one order in this process. */
interface Trial {
  rollout: Rollout;
  readonly detector: RegressionDetector;
  /** When this process learned of the order, and of its phase, in milliseconds since the epoch. */
  readonly since: number;
  phaseSince: number;
}

/**
 * Every judging process decides for itself, and the verdict of any one withdraws a version, so that
 * neither a crash nor a network partition between them delays it. If one advances the rollout too
 * early, a bad version gets no more than the share of the next phase.
 */
export class Judge {
  readonly #trials = new Map<string, Trial>();

  constructor(
    private readonly orders: Orders,
    private readonly evidenceStore: EvidenceStore,
    private readonly broadcast: RolloutBroadcast,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    orders.onChanged((rollout) => this.#recordOrder(rollout));
  }

  /** Evaluates the evidence that arrived since the last call. */
  look(): void {
    for (const trial of [...this.#trials.values()])
      if (isUndecided(trial.rollout)) this.#evaluate(trial);
  }

  /** Whether the platform does not show the state of the order yet, so that it has to be written. */
  needsWrite(rollout: Rollout): boolean {
    if (rollout.phase === 'withdrawn') return !rollout.isDeleted;
    if (!isUndecided(rollout)) return false;
    return !rollout.isNoted || mayComplete(rollout, this.#sincePhaseMs(rollout));
  }

  #sincePhaseMs({ upstream }: Rollout): number {
    const trial = this.#trials.get(upstream);
    return trial ? this.clock.now() - trial.phaseSince : 0;
  }

  #recordOrder(rollout: Rollout): void {
    const now = this.clock.now();
    const held = this.#trials.get(rollout.upstream);
    if (held && isSameOrder(held.rollout, rollout)) {
      held.phaseSince = now;
      held.rollout = rollout;
    } else {
      const detector = new RegressionDetector(rollout.version);
      const trial = { rollout, detector, since: now, phaseSince: now };
      this.#trials.set(rollout.upstream, trial);
    }
    const { upstream, version, phase, durationMs } = rollout;
    this.log.record('info', { event: 'rollout-changed', upstream, version, phase, durationMs });
  }

  #evaluate({ rollout, detector, since, phaseSince }: Trial): void {
    const now = this.clock.now();
    const finding = detector.look(this.evidenceStore.of(rollout), now);
    const { coverage } = detector;
    const progress = {
      sinceOrderMs: now - since,
      sincePhaseMs: now - phaseSince,
      finding,
      coverage,
    };
    const phase = nextPhase(rollout, progress);
    if (phase === undefined) return;
    this.#logDecision(rollout, phase, finding);
    this.broadcast.addOrders([{ ...rollout, phase }]);
  }

  #logDecision({ upstream, version }: Rollout, phase: Rollout['phase'], finding: Finding): void {
    const { reason, answered, failed, suspicion } = finding;
    const figures = { answered, failed, suspicion: Math.round(suspicion * 100) / 100 };
    this.log.record('info', {
      event: 'rollout-judged',
      upstream,
      version,
      phase,
      reason,
      ...figures,
    });
  }
}

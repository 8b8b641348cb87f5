/** Judges versions on trial by the evidence that has come in, and moves roll-outs on. */
import { type Rollout } from '../contracts.js';
import { type Log } from '../logs/log.js';
import { type Clock } from '../runtime/clock.js';
import { type EvidenceBook } from './evidence_book.js';
import { type Finding, Judgement } from './judgement.js';
import { isSameOrder, isUndecided, type Orders } from './orders.js';
import { type Spread } from './spread.js';
import { mayComplete, nextPhase } from './steps.js';

/** What this process has made of one order. */
interface Trial {
  rollout: Rollout;
  readonly judgement: Judgement;
  /** Instant at which this process first knew of the order, and of its phase, in milliseconds. */
  readonly since: number;
  phaseSince: number;
}

/**
 * Every process that judges comes to its own verdict, and any of them is enough to withdraw a version:
 * a death or a cut between them delays nothing. Going on too early costs no more than a step's share.
 */
export class Judge {
  readonly #trials = new Map<string, Trial>();

  constructor(
    private readonly orders: Orders,
    private readonly book: EvidenceBook,
    private readonly spread: Spread,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    orders.onChanged((rollout) => this.#note(rollout));
  }

  /** Looks at what has come in since the last look. */
  look(): void {
    for (const trial of [...this.#trials.values()])
      if (isUndecided(trial.rollout)) this.#weigh(trial);
  }

  /** Whether the platform has to be told something of the order that it does not say yet. */
  isDue(rollout: Rollout): boolean {
    if (rollout.phase === 'withdrawn') return !rollout.isDeleted;
    if (!isUndecided(rollout)) return false;
    return !rollout.isNoted || mayComplete(rollout, this.#sincePhaseMs(rollout));
  }

  #sincePhaseMs({ upstream }: Rollout): number {
    const trial = this.#trials.get(upstream);
    return trial ? this.clock.now() - trial.phaseSince : 0;
  }

  #note(rollout: Rollout): void {
    const now = this.clock.now();
    const held = this.#trials.get(rollout.upstream);
    if (held && isSameOrder(held.rollout, rollout)) {
      held.phaseSince = now;
      held.rollout = rollout;
    } else {
      const judgement = new Judgement(rollout.version);
      const trial = { rollout, judgement, since: now, phaseSince: now };
      this.#trials.set(rollout.upstream, trial);
    }
    const { upstream, version, phase, durationMs } = rollout;
    this.log.record('info', { event: 'rollout-changed', upstream, version, phase, durationMs });
  }

  #weigh({ rollout, judgement, since, phaseSince }: Trial): void {
    const now = this.clock.now();
    const finding = judgement.look(this.book.of(rollout), now);
    const { coverage } = judgement;
    const progress = {
      sinceOrderMs: now - since,
      sincePhaseMs: now - phaseSince,
      finding,
      coverage,
    };
    const phase = nextPhase(rollout, progress);
    if (phase === undefined) return;
    this.#explain(rollout, phase, finding);
    this.spread.order([{ ...rollout, phase }]);
  }

  #explain({ upstream, version }: Rollout, phase: Rollout['phase'], finding: Finding): void {
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

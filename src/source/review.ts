/** Decides what a proposal would come to on top of the head of the log. */
import { type Configuration } from '../configuration/configuration.js';
import { validate } from '../configuration/validate.js';
import { OutcomeError, type VersionRecord } from '../contracts.js';
import { type Acceptance, type Accepted, type Conflict } from './acceptance.js';
import { disturbed, type Effect, type Evaluation, touched } from './evaluate.js';
import { type Entry, type Head } from './head.js';
import { type Log } from './log.js';
import { type Proposal } from './proposal.js';

/** A change that may become the next version, and what it would lead to. */
export interface Candidate {
  readonly evaluation: Evaluation;
  readonly configuration: Configuration;
}

export class Review {
  constructor(
    private readonly log: Log,
    private readonly head: Head,
  ) {}

  /**
   * The change to make on top of the head, or the answer if there is none to make. Notes accepted
   * after version `base` must not touch the same resources.
   */
  async decide(
    proposal: Proposal,
    base: number,
    deadline: number,
  ): Promise<Acceptance | Candidate> {
    const versions = this.head.versionsOf(proposal.note);
    const earlier = versions.find(({ content }) => content === proposal.content);
    const latest = versions.at(-1);
    if (earlier) return this.#repeated(earlier, latest, deadline);
    const misplaced = proposal.misplaced(latest);
    if (misplaced) return { outcome: 'refused', problems: [misplaced] };
    const effect = latest && (await this.#effect(latest, deadline));
    const { configuration } = this.head;
    const taken = effect ? disturbed(effect, configuration) : [];
    if (latest && taken.length > 0) {
      return { ...this.#conflict(proposal.note, latest.number, taken), resources: taken };
    }
    const evaluation = proposal.evaluate(configuration, effect);
    const rival = this.#conflict(proposal.note, base, touched(evaluation.change));
    if (rival.resources.length > 0) return rival;
    const next = configuration.next(evaluation.change);
    const problems = [...evaluation.problems, ...validate(next)];
    if (problems.length > 0) return { outcome: 'refused', problems };
    return { evaluation, configuration: next };
  }

  async #repeated(earlier: Entry, latest: Entry | undefined, deadline: number): Promise<Accepted> {
    const record = await this.#stored(earlier.number, deadline);
    const isLatest = latest === undefined || latest.number === earlier.number;
    return {
      outcome: 'accepted',
      record,
      repeated: true,
      ...(!isLatest && { supersededBy: latest.number }),
    };
  }

  async #effect({ number }: Entry, deadline: number): Promise<Effect> {
    const { version, undo } = await this.#stored(number, deadline);
    return { change: version.change, undo };
  }

  async #stored(number: number, deadline: number): Promise<VersionRecord> {
    const record = await this.log.get(number, deadline);
    if (record) return record;
    throw new OutcomeError(`version ${number} is missing from the log`, {
      verdict: 'not-run',
      reason: 'broken-chain',
    });
  }

  /** What other notes did to those resources after `number`. */
  #conflict(note: string, number: number, resources: readonly string[]): Conflict {
    const mine = new Set(resources);
    const rivals = this.head.after(number).filter((entry) => entry.note !== note);
    const touching = rivals.filter((entry) => entry.resources.some((key) => mine.has(key)));
    const taken = touching.flatMap((entry) => entry.resources.filter((key) => mine.has(key)));
    const rival = touching.at(-1)?.note ?? '';
    return { outcome: 'conflict', resources: [...new Set(taken)].sort(), note: rival };
  }
}

/** Decides whether a proposal can be accepted on top of the head of the log. */
import { type Configuration } from '../configuration/configuration.js';
import { sizeProblems } from '../configuration/size_problems.js';
import { validate } from '../configuration/validate.js';
import { OutcomeError, type Problem, type VersionRecord } from '../contracts.js';
import { type Acceptance, type Accepted, type Conflict } from './acceptance.js';
import { overwrittenKeys, type Effect, type Evaluation, touchedKeys } from './evaluate.js';
import { type Head } from './head.js';
import { type VersionLog } from './log.js';
import { MAX_VERSIONS, type IndexedVersion, type NoteIndex } from './note_index.js';
import { type Proposal } from './proposal.js';

/** How many versions behind the head a note's `base` may be; limits what is read to compare. */
export const MAX_BASE_LAG = 4_096;

/** A change that can become the next version, and the resulting configuration. */
export interface Candidate {
  readonly evaluation: Evaluation;
  readonly configuration: Configuration;
}

export class Review {
  constructor(
    private readonly log: VersionLog,
    private readonly head: Head,
    private readonly index: NoteIndex,
  ) {}

  /** All versions of a note, oldest first. Requires that the head has caught up. */
  async versionsOf(note: string, deadline: number): Promise<IndexedVersion[]> {
    const { entries, floor } = this.head;
    const recent = entries.filter((entry) => entry.note === note);
    if (floor === 0) return recent;
    const indexed = await this.index.versionsOf(note, deadline);
    return [...indexed.filter(({ number }) => number <= floor), ...recent];
  }

  /**
   * Resolves to the change to make on top of the head, or to the answer if there is none to make.
   * It is a conflict if a note accepted after version `base` touched the same resources.
   */
  async decide(
    proposal: Proposal,
    base: number,
    deadline: number,
  ): Promise<Acceptance | Candidate> {
    const versions = await this.versionsOf(proposal.note, deadline);
    const earlier = versions.find(({ content }) => content === proposal.content);
    const latest = versions.at(-1);
    if (earlier) return this.#repeatedAcceptance(earlier, latest, deadline);
    const problem = this.#preconditionProblem(proposal, base, versions);
    if (problem) return { outcome: 'refused', problems: [problem] };
    const effect = latest && (await this.#effect(latest, deadline));
    const { configuration } = this.head;
    const overwritten = effect ? overwrittenKeys(effect, configuration) : [];
    if (latest && overwritten.length > 0) {
      const rival = await this.#conflict(proposal.note, latest.number, overwritten, deadline);
      return { ...rival, resources: overwritten };
    }
    const evaluation = proposal.evaluate(configuration, effect);
    const mine = touchedKeys(evaluation.change);
    const rival = await this.#conflict(proposal.note, base, mine, deadline);
    if (rival.resources.length > 0) return rival;
    const next = configuration.next(evaluation.change);
    const problems = [...evaluation.problems, ...sizeProblems(next), ...validate(next)];
    if (problems.length > 0) return { outcome: 'refused', problems };
    return { evaluation, configuration: next };
  }

  #preconditionProblem(
    proposal: Proposal,
    base: number,
    versions: readonly IndexedVersion[],
  ): Problem | undefined {
    const { number } = this.head.configuration;
    if (base > number) {
      return { path: 'base', message: `is ahead of the latest version, ${number}` };
    }
    if (number - base > MAX_BASE_LAG) {
      const message = `is over ${MAX_BASE_LAG} versions behind; check the current configuration`;
      return { path: 'base', message };
    }
    if (versions.length >= MAX_VERSIONS) {
      return { path: 'id', message: `has ${MAX_VERSIONS} versions already; submit a new note` };
    }
    return proposal.preconditionProblem(versions.at(-1));
  }

  async #repeatedAcceptance(
    earlier: IndexedVersion,
    latest: IndexedVersion | undefined,
    deadline: number,
  ): Promise<Accepted> {
    const record = await this.#recordOf(earlier.number, deadline);
    const isLatest = latest === undefined || latest.number === earlier.number;
    return {
      outcome: 'accepted',
      record,
      repeated: true,
      ...(!isLatest && { supersededBy: latest.number }),
    };
  }

  async #effect({ number }: IndexedVersion, deadline: number): Promise<Effect> {
    const { version, undo } = await this.#recordOf(number, deadline);
    return { change: version.change, undo };
  }

  async #recordOf(number: number, deadline: number): Promise<VersionRecord> {
    const record = await this.log.get(number, deadline);
    if (record) return record;
    throw new OutcomeError(`version ${number} is missing from the log`, {
      verdict: 'not-run',
      reason: 'broken-chain',
    });
  }

  /** The conflict with other notes that touched `resources` after version `number`. */
  async #conflict(
    note: string,
    number: number,
    resources: readonly string[],
    deadline: number,
  ): Promise<Conflict> {
    const mine = new Set(resources);
    const taken = new Set<string>();
    let rival = '';
    for await (const version of this.#versionsAfter(number, deadline)) {
      const shared = version.resources.filter((key) => mine.has(key));
      if (version.note === note || shared.length === 0) continue;
      shared.forEach((key) => taken.add(key));
      rival = version.note;
    }
    return { outcome: 'conflict', resources: [...taken].sort(), note: rival };
  }

  /** Versions after `number`; those no longer in memory are read from the log, page by page. */
  async *#versionsAfter(number: number, deadline: number): AsyncGenerator<Footprint> {
    const { floor, entries } = this.head;
    let after = Math.max(number, this.head.configuration.number - MAX_BASE_LAG);
    while (after < floor) {
      const page = await this.log.read(after, deadline);
      if (page.length === 0) break;
      after += page.length;
      for (const { version } of page) {
        if (version.number > floor) break;
        yield { note: version.note, resources: touchedKeys(version.change) };
      }
    }
    yield* entries.filter((entry) => entry.number > number);
  }
}

/** The resources that a version of a note touched. */
interface Footprint {
  readonly note: string;
  readonly resources: readonly string[];
}

/** Decides what a proposal would come to on top of the head of the log. */
import { type Configuration } from '../configuration/configuration.js';
import { validate } from '../configuration/validate.js';
import { OutcomeError, type Problem, type VersionRecord } from '../contracts.js';
import { type Acceptance, type Accepted, type Conflict } from './acceptance.js';
import { disturbed, type Effect, type Evaluation, touched } from './evaluate.js';
import { type Head } from './head.js';
import { type Log } from './log.js';
import { MAX_VERSIONS, type Mention, type NoteIndex } from './note_index.js';
import { type Proposal } from './proposal.js';

/** How many versions before the head a note's `base` may lie; bounds what is read to compare. */
export const MAX_REACH = 4_096;

/** A change that may become the next version, and what it would lead to. */
export interface Candidate {
  readonly evaluation: Evaluation;
  readonly configuration: Configuration;
}

export class Review {
  constructor(
    private readonly log: Log,
    private readonly head: Head,
    private readonly index: NoteIndex,
  ) {}

  /** All versions of a note, oldest first; the head must have caught up. */
  async versionsOf(note: string, deadline: number): Promise<Mention[]> {
    const { entries, floor } = this.head;
    const recent = entries.filter((entry) => entry.note === note);
    if (floor === 0) return recent;
    const indexed = await this.index.versionsOf(note, deadline);
    return [...indexed.filter(({ number }) => number <= floor), ...recent];
  }

  /**
   * The change to make on top of the head, or the answer if there is none to make. Notes accepted
   * after version `base` must not touch the same resources.
   */
  async decide(
    proposal: Proposal,
    base: number,
    deadline: number,
  ): Promise<Acceptance | Candidate> {
    const versions = await this.versionsOf(proposal.note, deadline);
    const earlier = versions.find(({ content }) => content === proposal.content);
    const latest = versions.at(-1);
    if (earlier) return this.#repeated(earlier, latest, deadline);
    const misplaced = this.#misplaced(proposal, base, versions);
    if (misplaced) return { outcome: 'refused', problems: [misplaced] };
    const effect = latest && (await this.#effect(latest, deadline));
    const { configuration } = this.head;
    const taken = effect ? disturbed(effect, configuration) : [];
    if (latest && taken.length > 0) {
      const rival = await this.#conflict(proposal.note, latest.number, taken, deadline);
      return { ...rival, resources: taken };
    }
    const evaluation = proposal.evaluate(configuration, effect);
    const mine = touched(evaluation.change);
    const rival = await this.#conflict(proposal.note, base, mine, deadline);
    if (rival.resources.length > 0) return rival;
    const next = configuration.next(evaluation.change);
    const problems = [...evaluation.problems, ...validate(next)];
    if (problems.length > 0) return { outcome: 'refused', problems };
    return { evaluation, configuration: next };
  }

  #misplaced(proposal: Proposal, base: number, versions: readonly Mention[]): Problem | undefined {
    const { number } = this.head.configuration;
    if (base > number) {
      return { path: 'base', message: `is ahead of the latest version, ${number}` };
    }
    if (number - base > MAX_REACH) {
      const message = `is over ${MAX_REACH} versions back; look at the present state again`;
      return { path: 'base', message };
    }
    if (versions.length >= MAX_VERSIONS) {
      return { path: 'id', message: `has ${MAX_VERSIONS} versions already; submit a new note` };
    }
    return proposal.misplaced(versions.at(-1));
  }

  async #repeated(
    earlier: Mention,
    latest: Mention | undefined,
    deadline: number,
  ): Promise<Accepted> {
    const record = await this.#stored(earlier.number, deadline);
    const isLatest = latest === undefined || latest.number === earlier.number;
    return {
      outcome: 'accepted',
      record,
      repeated: true,
      ...(!isLatest && { supersededBy: latest.number }),
    };
  }

  async #effect({ number }: Mention, deadline: number): Promise<Effect> {
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

  /** What other notes did to those resources after `number`, as far back as it is looked for. */
  async #conflict(
    note: string,
    number: number,
    resources: readonly string[],
    deadline: number,
  ): Promise<Conflict> {
    const mine = new Set(resources);
    const taken = new Set<string>();
    let rival = '';
    for await (const version of this.#after(number, deadline)) {
      const clashes = version.resources.filter((key) => mine.has(key));
      if (version.note === note || clashes.length === 0) continue;
      clashes.forEach((key) => taken.add(key));
      rival = version.note;
    }
    return { outcome: 'conflict', resources: [...taken].sort(), note: rival };
  }

  /** Versions after `number`: those that are not remembered are read, page by page. */
  async *#after(number: number, deadline: number): AsyncGenerator<Footprint> {
    const { floor, entries } = this.head;
    let after = Math.max(number, this.head.configuration.number - MAX_REACH);
    while (after < floor) {
      const page = await this.log.read(after, deadline);
      if (page.length === 0) break;
      after += page.length;
      for (const { version } of page) {
        if (version.number > floor) break;
        yield { note: version.note, resources: touched(version.change) };
      }
    }
    yield* entries.filter((entry) => entry.number > number);
  }
}

/** Which note touched which resources. */
interface Footprint {
  readonly note: string;
  readonly resources: readonly string[];
}

/** Acceptance: turns release notes into versions of the log. */
import PQueue from 'p-queue';
import { type Configuration } from '../configuration/configuration.js';
import { type Problem, validate } from '../configuration/validate.js';
import { OutcomeError, type ReleaseNote, type VersionRecord } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { Appender } from './appender.js';
import { disturbed, type Evaluation, touched } from './evaluate.js';
import { type Entry, Head } from './head.js';
import { type Log } from './log.js';
import { Amendment, type Proposal, Submission, Withdrawal } from './proposal.js';

/** The same was handed in before, or was accepted now. */
export interface Accepted {
  readonly outcome: 'accepted';
  readonly record: VersionRecord;
  /** It had been accepted before, as this record; nothing was written. */
  readonly repeated: boolean;
  /** The note's latest version, where that is not the record's. */
  readonly supersededBy?: number;
}

/** It cannot be put in force, whatever others do. */
export interface Refused {
  readonly outcome: 'refused';
  readonly problems: readonly Problem[];
}

/** A later note, or a rival one, touched the same resources. */
export interface Conflict {
  readonly outcome: 'conflict';
  readonly resources: readonly string[];
  /** The other note, the latest one if there are several. */
  readonly note: string;
}

/** How the handing in of a note ended. */
export type Acceptance = Accepted | Refused | Conflict;

/** How a check ended: the note could be accepted on top of `head`, or what it would come to. */
export type Check =
  | { readonly outcome: 'valid'; readonly head: number; readonly resources: readonly string[] }
  | Acceptance;

/** Proposals that wait at one process; more are turned away. */
const MAX_WAITING = 64;

/**
 * Accepts release notes by creating the next version if absent. Any process may do it, several at
 * once: the platform admits one record under each number. Within a process proposals go one at a
 * time, since two that race each other would only cost calls.
 */
export class Source {
  readonly #head: Head;

  readonly #appender: Appender;

  readonly #queue = new PQueue({ concurrency: 1 });

  constructor(
    private readonly log: Log,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.#head = new Head(log);
    this.#appender = new Appender(log, clock, random);
  }

  /** Accepts a note that was not handed in before, or answers as it did the first time. */
  submit(note: ReleaseNote, deadline: number): Promise<Acceptance> {
    return this.#enqueue(new Submission(note), deadline);
  }

  /** Replaces what the note of the same id has done by what this one says, as one version. */
  amend(note: ReleaseNote, deadline: number): Promise<Acceptance> {
    return this.#enqueue(new Amendment(note), deadline);
  }

  /** Takes back what a note has done, as a new version. */
  withdraw(note: string, author: string, deadline: number): Promise<Acceptance> {
    return this.#enqueue(new Withdrawal(note, author), deadline);
  }

  /** What `submit`, or `amend`, would answer now; nothing is written. */
  async check(note: ReleaseNote, action: 'submit' | 'amend', deadline: number): Promise<Check> {
    const proposal = action === 'amend' ? new Amendment(note) : new Submission(note);
    return this.#queue.add(async () => {
      await this.#head.catchUp(deadline);
      const { number } = this.#head.configuration;
      const considered = await this.#consider(proposal, proposal.base ?? number, deadline);
      if ('outcome' in considered) return considered;
      return { outcome: 'valid', head: number, resources: touched(considered.evaluation.change) };
    });
  }

  /** Entries of the log, oldest first. */
  async history(deadline: number): Promise<readonly VersionRecord[]> {
    const records: VersionRecord[] = [];
    for (;;) {
      const page = await this.log.read(records.length, deadline);
      if (page.length === 0) return records;
      records.push(...page);
    }
  }

  async #enqueue(proposal: Proposal, deadline: number): Promise<Acceptance> {
    if (this.#queue.size >= MAX_WAITING) {
      const message = `${MAX_WAITING} others wait here; hand the note in again later`;
      throw new OutcomeError(message, { verdict: 'not-run', reason: 'busy' });
    }
    return this.#queue.add(() => this.#accept(proposal, deadline));
  }

  async #accept(proposal: Proposal, deadline: number): Promise<Acceptance> {
    await this.#head.catchUp(deadline);
    const nonce = this.random.nonce();
    const base = proposal.base ?? this.#head.configuration.number;
    for (;;) {
      const considered = await this.#consider(proposal, base, deadline);
      if ('outcome' in considered) return considered;
      const record = this.#record(proposal, nonce, considered);
      const isMine = await this.#appender.append(record, deadline);
      if (isMine) this.#head.advance(record);
      else await this.#head.catchUp(deadline);
      if (isMine) return { outcome: 'accepted', record, repeated: false };
    }
  }

  /** The change to make on top of the head, or the answer if there is none to make. */
  async #consider(
    proposal: Proposal,
    base: number,
    deadline: number,
  ): Promise<Acceptance | Candidate> {
    const versions = this.#head.versionsOf(proposal.note);
    const earlier = versions.find(({ content }) => content === proposal.content);
    const latest = versions.at(-1);
    if (earlier) return this.#repeated(earlier, latest, deadline);
    const misplaced = proposal.misplaced(latest);
    if (misplaced) return { outcome: 'refused', problems: [misplaced] };
    const effect = latest && (await this.#effect(latest, deadline));
    const { configuration } = this.#head;
    const taken = effect ? disturbed(effect, configuration) : [];
    if (latest && taken.length > 0) {
      return { ...this.#conflict(proposal.note, latest.number, taken), resources: taken };
    }
    const evaluation = proposal.evaluate(configuration, effect);
    const rival = this.#conflict(proposal.note, base, touched(evaluation.change));
    if (rival.resources.length > 0) return rival;
    const candidate = configuration.next(evaluation.change);
    const problems = [...evaluation.problems, ...validate(candidate)];
    if (problems.length > 0) return { outcome: 'refused', problems };
    return { evaluation, configuration: candidate };
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

  async #effect({ number }: Entry, deadline: number) {
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
    const rivals = this.#head.after(number).filter((entry) => entry.note !== note);
    const touching = rivals.filter((entry) => entry.resources.some((key) => mine.has(key)));
    const taken = new Set(
      touching.flatMap((entry) => entry.resources.filter((key) => mine.has(key))),
    );
    return { outcome: 'conflict', resources: [...taken].sort(), note: touching.at(-1)?.note ?? '' };
  }

  #record(
    { action, author, note, content }: Proposal,
    nonce: string,
    { evaluation, configuration }: Candidate,
  ): VersionRecord {
    const { number, digest } = configuration;
    const { change, undo } = evaluation;
    const parent = this.#head.configuration.digest;
    const acceptedAt = this.clock.now();
    const version = { number, parent, digest, note, acceptedAt, change };
    return { version, action, author, nonce, content, undo };
  }
}

/** A change that may become the next version, and what it would lead to. */
interface Candidate {
  readonly evaluation: Evaluation;
  readonly configuration: Configuration;
}

/** Acceptance: turns release notes into versions of the log. */
import PQueue from 'p-queue';
import {
  type Action,
  type AuditCursor,
  type AuditPage,
  OutcomeError,
  type Problem,
  type ReleaseNote,
  type VersionRecord,
} from '../contracts.js';
import { type Platform } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { type Acceptance, type Check, type Conflict, type Refused } from './acceptance.js';
import { Appender } from './appender.js';
import { Audit, TRAIL_START } from './audit.js';
import { touched } from './evaluate.js';
import { Head } from './head.js';
import { Log, PAGE } from './log.js';
import { Amendment, type Proposal, Submission, Withdrawal } from './proposal.js';
import { NoteIndex } from './note_index.js';
import { Publisher, SNAPSHOT_EVERY } from './publisher.js';
import { Refusals } from './refusals.js';
import { type Candidate, Review } from './review.js';
import { Snapshots } from './snapshots.js';

/** Who hands in what; as much as can be read from a text that is not a release note. */
export type Attempt = Pick<Proposal, 'action' | 'note' | 'author'>;

/** Proposals that wait at one process; more are turned away. */
const MAX_WAITING = 64;

/**
 * Accepts release notes by creating the next version if absent. Any process may do it, several at
 * once: the platform admits one record under each number. Within a process proposals go one at a
 * time, since two that race each other would only cost calls.
 */
export class Source implements AsyncDisposable {
  /** What became of the notes handed in here, and how many refusals could not be audited. */
  readonly counts = { accepted: 0, repeated: 0, refused: 0, conflict: 0, unaudited: 0 };

  readonly #log: Log;

  readonly #head: Head;

  readonly #review: Review;

  readonly #appender: Appender;

  readonly #publisher: Publisher;

  readonly #refusals: Refusals;

  readonly #audit: Audit;

  readonly #queue = new PQueue({ concurrency: 1 });

  constructor(
    platform: Platform,
    private readonly clock: Clock,
    private readonly random: Random,
    snapshotEvery = SNAPSHOT_EVERY,
  ) {
    const log = new Log(platform);
    this.#log = log;
    const index = new NoteIndex(platform);
    const snapshots = new Snapshots(platform, log);
    this.#head = new Head(log, snapshots);
    this.#review = new Review(log, this.#head, index);
    this.#publisher = new Publisher(this.#head, index, snapshots, clock, snapshotEvery);
    this.#appender = new Appender(log, clock, random);
    this.#refusals = new Refusals(platform, clock, random);
    this.#audit = new Audit(log, this.#refusals);
  }

  /** Accepts a note that was not handed in before, or answers as it did the first time. */
  submit(note: ReleaseNote, deadline: number): Promise<Acceptance> {
    return this.#handIn(new Submission(note), deadline);
  }

  /** Replaces what the note of the same id has done by what this one says, as one version. */
  amend(note: ReleaseNote, deadline: number): Promise<Acceptance> {
    return this.#handIn(new Amendment(note), deadline);
  }

  /** Takes back what a note has done, as a new version. */
  withdraw(note: string, author: string, deadline: number): Promise<Acceptance> {
    return this.#handIn(new Withdrawal(note, author), deadline);
  }

  /** What `submit`, or `amend`, would answer now; nothing is written. */
  async check(note: ReleaseNote, action: 'submit' | 'amend', deadline: number): Promise<Check> {
    const proposal = action === 'amend' ? new Amendment(note) : new Submission(note);
    return this.#inTurn(async () => {
      await this.#head.catchUp(deadline);
      const { number } = this.#head.configuration;
      const decision = await this.#review.decide(proposal, proposal.base ?? number, deadline);
      if ('outcome' in decision) return decision;
      return { outcome: 'valid', head: number, resources: touched(decision.evaluation.change) };
    });
  }

  /** Refuses what was handed in for the problems found in its text, and audits that. */
  refuse(attempt: Attempt, problems: readonly Problem[]): Promise<Refused> {
    return this.#audited(attempt, { outcome: 'refused', problems });
  }

  /** Reads the audit trail, in time order, from its start or from a cursor. */
  history(deadline: number, cursor: AuditCursor = TRAIL_START): Promise<AuditPage> {
    return this.#audit.page(cursor, deadline);
  }

  /** The last `count` records of the log, oldest first, none up to version `after`. */
  async recent(after: number, count: number, deadline: number): Promise<VersionRecord[]> {
    let records: VersionRecord[] = [];
    for (let read = after; ;) {
      const page = await this.#log.read(read, deadline);
      records = [...records, ...page].slice(-count);
      if (page.length < PAGE) return records;
      read += page.length;
    }
  }

  /** The last `count` records of one note, oldest first. */
  versionsOf(note: string, count: number, deadline: number): Promise<VersionRecord[]> {
    return this.#inTurn(async () => {
      await this.#head.catchUp(deadline);
      const versions = await this.#review.versionsOf(note, deadline);
      const records = versions.slice(-count).map(({ number }) => this.#log.get(number, deadline));
      return (await Promise.all(records)).filter((record) => record !== undefined);
    });
  }

  /** Waits for what was handed in, and for a snapshot that is being published. */
  async [Symbol.asyncDispose](): Promise<void> {
    await this.#queue.onIdle();
  }

  async #handIn(proposal: Proposal, deadline: number): Promise<Acceptance> {
    const acceptance = await this.#inTurn(() => this.#accept(proposal, deadline));
    if (acceptance.outcome !== 'accepted') return this.#audited(proposal, acceptance);
    this.counts[acceptance.repeated ? 'repeated' : 'accepted'] += 1;
    // After the answer, in the same queue: nothing else moves the head while it is published.
    if (this.#publisher.isDue) void this.#queue.add(() => this.#publisher.publish());
    return acceptance;
  }

  #inTurn<T>(task: () => Promise<T>): Promise<T> {
    if (this.#queue.size < MAX_WAITING) return this.#queue.add(task);
    const message = `${MAX_WAITING} others wait here; hand the note in again later`;
    throw new OutcomeError(message, { verdict: 'not-run', reason: 'busy' });
  }

  async #accept(proposal: Proposal, deadline: number): Promise<Acceptance> {
    await beforeWriting(this.#head.catchUp(deadline));
    const nonce = this.random.nonce();
    const base = proposal.base ?? this.#head.configuration.number;
    for (;;) {
      const decision = await beforeWriting(this.#review.decide(proposal, base, deadline));
      if ('outcome' in decision) return decision;
      const record = this.#record(proposal, nonce, decision);
      const isMine = await this.#appender.append(record, deadline);
      if (isMine) this.#head.advance(record);
      else await beforeWriting(this.#head.catchUp(deadline));
      if (isMine) return { outcome: 'accepted', record, repeated: false };
    }
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

  async #audited<T extends Refused | Conflict>(attempt: Attempt, refusal: T): Promise<T> {
    const { action, author, note } = attempt;
    const { outcome } = refusal;
    this.counts[outcome] += 1;
    const audited = await this.#refusals.record({
      at: this.clock.now(),
      author,
      action,
      note,
      outcome,
      resources: refusal.outcome === 'conflict' ? [...refusal.resources] : [],
      problems: refusal.outcome === 'refused' ? [...refusal.problems] : [],
      ...(refusal.outcome === 'conflict' && { rival: refusal.note }),
      omitted: 0,
    });
    if (!audited) this.counts.unaudited += 1;
    return { ...refusal, audited };
  }
}

/**
 * A read without an answer says that it may have run, and so it may. The note was not accepted by
 * it: either nothing was written yet, or another record holds the number for good.
 */
async function beforeWriting<T>(reading: Promise<T>): Promise<T> {
  try {
    return await reading;
  } catch (error) {
    const reason = error instanceof OutcomeError ? error.reason : 'unreadable';
    const message = `the log cannot be read, nothing was accepted: ${(error as Error).message}`;
    throw new OutcomeError(message, { verdict: 'not-run', reason }, { cause: error });
  }
}

/** Who and what a text that is no release note speaks of, as far as it says so. */
export function attemptOf(action: Action, data: unknown): Attempt {
  const fields = typeof data === 'object' && data !== null ? data : {};
  const text = (name: string) => {
    const value = (fields as Record<string, unknown>)[name];
    return typeof value === 'string' && value !== '' ? value : 'unknown';
  };
  return { action, author: text('author'), note: text('id') };
}

/** Accepts release notes as versions of the log. */
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
import { runInBackground } from '../runtime/faults.js';
import { type Random } from '../runtime/random.js';
import { type Acceptance, type Check, type Conflict, type Refused } from './acceptance.js';
import { Appender } from './appender.js';
import { Audit, TRAIL_START } from './audit.js';
import { touchedKeys } from './evaluate.js';
import { Head } from './head.js';
import { VersionLog, PAGE_SIZE } from './log.js';
import { Amendment, type Proposal, Submission, Withdrawal } from './proposal.js';
import { NoteIndex } from './note_index.js';
import { Publisher, VERSIONS_PER_SNAPSHOT } from './publisher.js';
import { Refusals } from './refusals.js';
import { type Candidate, Review } from './review.js';
import { Snapshots } from './snapshots.js';

/** Action, note id and author of a proposal, also for a text that is not a valid release note. */
export type Attempt = Pick<Proposal, 'action' | 'note' | 'author'>;

/** Most proposals queued at one process; more are refused. */
const MAX_WAITING = 64;

/**
 * Accepts release notes by creating the next version if absent. Any number of processes may do so
 * concurrently, since the platform stores one record under each number. Within a process proposals
 * are handled one at a time, because a race between two would only cost additional calls.
 */
export class Source implements AsyncDisposable {
  /** Results of the proposals to this process, and refusals missing from the audit trail. */
  readonly counts = { accepted: 0, repeated: 0, refused: 0, conflict: 0, unaudited: 0 };

  readonly #log: VersionLog;

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
    snapshotEvery = VERSIONS_PER_SNAPSHOT,
  ) {
    const log = new VersionLog(platform);
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

  /** Accepts a new note; a repeat of an accepted note gets the record of its acceptance. */
  submit(note: ReleaseNote, deadline: number): Promise<Acceptance> {
    return this.#propose(new Submission(note), deadline);
  }

  /** Undoes what the note with the same id has changed and applies this one, as one version. */
  amend(note: ReleaseNote, deadline: number): Promise<Acceptance> {
    return this.#propose(new Amendment(note), deadline);
  }

  /** Undoes what a note has changed, as a new version. */
  withdraw(note: string, author: string, deadline: number): Promise<Acceptance> {
    return this.#propose(new Withdrawal(note, author), deadline);
  }

  /** What `submit` or `amend` would answer now; writes nothing. */
  async check(note: ReleaseNote, action: 'submit' | 'amend', deadline: number): Promise<Check> {
    const proposal = action === 'amend' ? new Amendment(note) : new Submission(note);
    return this.#enqueue(async () => {
      await this.#head.catchUp(deadline);
      const { number } = this.#head.configuration;
      const decision = await this.#review.decide(proposal, proposal.base ?? number, deadline);
      if ('outcome' in decision) return decision;
      return { outcome: 'valid', head: number, resources: touchedKeys(decision.evaluation.change) };
    });
  }

  /** Refuses a proposal for the problems found in its text, and writes that to the audit trail. */
  refuse(attempt: Attempt, problems: readonly Problem[]): Promise<Refused> {
    return this.#recordRefusal(attempt, { outcome: 'refused', problems });
  }

  /** Reads a page of the audit trail, in time order, from its start or from a cursor. */
  history(deadline: number, cursor: AuditCursor = TRAIL_START): Promise<AuditPage> {
    return this.#audit.page(cursor, deadline);
  }

  /** The last `count` records of the log after version `after`, oldest first. */
  async recent(after: number, count: number, deadline: number): Promise<VersionRecord[]> {
    let records: VersionRecord[] = [];
    for (let read = after; ;) {
      const page = await this.#log.read(read, deadline);
      records = [...records, ...page].slice(-count);
      if (page.length < PAGE_SIZE) return records;
      read += page.length;
    }
  }

  /** The last `count` records of one note, oldest first. */
  versionsOf(note: string, count: number, deadline: number): Promise<VersionRecord[]> {
    return this.#enqueue(async () => {
      await this.#head.catchUp(deadline);
      const versions = await this.#review.versionsOf(note, deadline);
      const records = versions.slice(-count).map(({ number }) => this.#log.get(number, deadline));
      return (await Promise.all(records)).filter((record) => record !== undefined);
    });
  }

  /** Waits for pending proposals, and for a snapshot that is being published. */
  async [Symbol.asyncDispose](): Promise<void> {
    await this.#queue.onIdle();
  }

  async #propose(proposal: Proposal, deadline: number): Promise<Acceptance> {
    const acceptance = await this.#enqueue(() => this.#accept(proposal, deadline));
    if (acceptance.outcome !== 'accepted') return this.#recordRefusal(proposal, acceptance);
    this.counts[acceptance.repeated ? 'repeated' : 'accepted'] += 1;
    // In the same queue, so that nothing else changes the head during the publication; not awaited,
    // so that the answer does not wait for it.
    if (this.#publisher.isDue)
      runInBackground(
        'snapshot',
        this.#queue.add(() => this.#publisher.publish()),
      );
    return acceptance;
  }

  #enqueue<T>(task: () => Promise<T>): Promise<T> {
    if (this.#queue.size < MAX_WAITING) return this.#queue.add(task);
    const message = `${MAX_WAITING} proposals are queued at this process; try again later`;
    throw new OutcomeError(message, { verdict: 'not-run', reason: 'busy' });
  }

  async #accept(proposal: Proposal, deadline: number): Promise<Acceptance> {
    await readBeforeWriting(this.#head.catchUp(deadline));
    const nonce = this.random.nonce();
    const base = proposal.base ?? this.#head.configuration.number;
    for (;;) {
      const decision = await readBeforeWriting(this.#review.decide(proposal, base, deadline));
      if ('outcome' in decision) return decision;
      const record = this.#record(proposal, nonce, decision);
      const isMine = await this.#appender.append(record, deadline);
      if (isMine) this.#head.advance(record);
      else await readBeforeWriting(this.#head.catchUp(deadline));
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

  async #recordRefusal<T extends Refused | Conflict>(attempt: Attempt, refusal: T): Promise<T> {
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
 * Turns the failure of a read into `not-run`. The read itself may have run, but the note was not
 * accepted: either nothing was written yet, or another record took the number.
 */
async function readBeforeWriting<T>(reading: Promise<T>): Promise<T> {
  try {
    return await reading;
  } catch (error) {
    const reason = error instanceof OutcomeError ? error.reason : 'unreadable';
    const message = `the log cannot be read, nothing was accepted: ${(error as Error).message}`;
    throw new OutcomeError(message, { verdict: 'not-run', reason }, { cause: error });
  }
}

/** Author and note id from data that is not a valid release note; `unknown` where it has none. */
export function attemptOf(action: Action, data: unknown): Attempt {
  const fields = typeof data === 'object' && data !== null ? data : {};
  const text = (name: string) => {
    const value = (fields as Record<string, unknown>)[name];
    return typeof value === 'string' && value !== '' ? value : 'unknown';
  };
  return { action, author: text('author'), note: text('id') };
}

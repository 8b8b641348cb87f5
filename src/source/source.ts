/** Acceptance: turns release notes into versions of the log. */
import { Configuration } from '../configuration/configuration.js';
import { digestOf } from '../configuration/digest.js';
import { type Problem, validate } from '../configuration/validate.js';
import { type Action, OutcomeError, type ReleaseNote, type VersionRecord } from '../contracts.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { evaluate, type Evaluation, touched } from './evaluate.js';
import { type Log } from './log.js';

/** How the handing in of a note ended. */
export type Acceptance =
  | { readonly outcome: 'accepted'; readonly record: VersionRecord; readonly repeated: boolean }
  | { readonly outcome: 'refused'; readonly problems: readonly Problem[] }
  | { readonly outcome: 'conflict'; readonly resources: readonly string[]; readonly note: string };

const RETRY_CAP_MS = 200;

/** Accepts release notes by creating the next version if absent. */
export class Source {
  #head = Configuration.empty;

  readonly #records: VersionRecord[] = [];

  constructor(
    private readonly log: Log,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Accepts a note that was not handed in before, or answers as it did the first time. */
  submit(note: ReleaseNote, deadline: number): Promise<Acceptance> {
    return this.#accept('submit', note.author, note, deadline);
  }

  /** Reads whatever the log holds beyond what is known here. */
  async catchUp(deadline: number): Promise<void> {
    for (;;) {
      const records = await this.log.read(this.#head.number, deadline);
      if (records.length === 0) return;
      for (const record of records) {
        this.#head = this.#head.next(record.version.change);
        this.#records.push(record);
      }
    }
  }

  /** Entries of the log, oldest first. */
  async history(deadline: number): Promise<readonly VersionRecord[]> {
    await this.catchUp(deadline);
    return this.#records;
  }

  async #accept(
    action: Action,
    author: string,
    note: ReleaseNote,
    deadline: number,
  ): Promise<Acceptance> {
    await this.catchUp(deadline);
    const content = digestOf(note);
    const nonce = this.random.nonce();
    const base = note.base ?? this.#head.number;
    for (;;) {
      const earlier = this.#earlier(note.id);
      if (earlier) return repeated(earlier, content);
      const rivals = this.#rivals(base, note);
      if (rivals) return rivals;
      const evaluation = evaluate(note, this.#head);
      const candidate = this.#head.next(evaluation.change);
      const problems = [...evaluation.problems, ...validate(candidate)];
      if (problems.length > 0) return { outcome: 'refused', problems };
      const record = this.#record(action, author, note.id, content, nonce, evaluation, candidate);
      if (await this.#append(record, deadline)) {
        await this.catchUp(deadline);
        return { outcome: 'accepted', record, repeated: false };
      }
      await this.catchUp(deadline);
    }
  }

  #earlier(note: string): VersionRecord | undefined {
    return this.#records.findLast((record) => record.version.note === note);
  }

  /** The conflict with versions after `base` that touch the same resources, if there is one. */
  #rivals(base: number, note: ReleaseNote): Acceptance | undefined {
    const mine = new Set(touched(evaluate(note, this.#head).change));
    for (const { version } of this.#records.slice(base)) {
      const resources = touched(version.change).filter((key) => mine.has(key));
      if (resources.length > 0) return { outcome: 'conflict', resources, note: version.note };
    }
    return undefined;
  }

  #record(
    action: Action,
    author: string,
    note: string,
    content: string,
    nonce: string,
    { change, undo }: Evaluation,
    candidate: Configuration,
  ): VersionRecord {
    const { number, digest } = candidate;
    const version = {
      number,
      parent: this.#head.digest,
      digest,
      note,
      acceptedAt: this.clock.now(),
      change,
    };
    return { version, action, author, nonce, content, undo };
  }

  /** Whether the record is in the log under its number; settles a lost answer by reading back. */
  async #append(record: VersionRecord, deadline: number): Promise<boolean> {
    try {
      return await this.log.append(record, deadline);
    } catch (error) {
      if (!(error instanceof OutcomeError) || error.verdict === 'not-run') throw error;
      return this.#settle(record, deadline);
    }
  }

  async #settle(record: VersionRecord, deadline: number): Promise<boolean> {
    while (this.clock.now() < deadline) {
      try {
        const held = await this.log.get(record.version.number, deadline);
        if (held) return held.nonce === record.nonce;
        // Nothing there: the first write may still be on its way, so it is sent again under the
        // same number and nonce. Whichever arrives first is the one record.
        if (await this.log.append(record, deadline)) return true;
      } catch (error) {
        if (!(error instanceof OutcomeError)) throw error;
        await this.clock.sleepUntil(this.clock.now() + this.random.jitter(RETRY_CAP_MS));
      }
    }
    throw new OutcomeError('no answer from the platform; hand the same note in again', {
      verdict: 'may-have-run',
      reason: 'unsettled',
    });
  }
}

function repeated(earlier: VersionRecord, content: string): Acceptance {
  if (earlier.content === content) return { outcome: 'accepted', record: earlier, repeated: true };
  const message = `was accepted as version ${earlier.version.number} with other content; amend it`;
  return { outcome: 'refused', problems: [{ path: 'id', message }] };
}

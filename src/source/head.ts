/** The end of the log as it is known here: the configuration there and what led to it lately. */
import { Configuration } from '../configuration/configuration.js';
import { type Action, OutcomeError, type ResourceKey, type VersionRecord } from '../contracts.js';
import { touched } from './evaluate.js';
import { type Log } from './log.js';

/** What is remembered of a version. */
export interface Entry {
  readonly number: number;
  readonly note: string;
  readonly action: Action;
  readonly content: string;
  /** Keys of the resources that the version touched. */
  readonly resources: readonly ResourceKey[];
}

export class Head {
  #configuration = Configuration.empty;

  #entries: Entry[] = [];

  constructor(private readonly log: Log) {}

  get configuration(): Configuration {
    return this.#configuration;
  }

  /** Versions of a note among those remembered, oldest first. */
  versionsOf(note: string): Entry[] {
    return this.#entries.filter((entry) => entry.note === note);
  }

  /** Remembered versions after `number`. */
  after(number: number): Entry[] {
    return this.#entries.filter((entry) => entry.number > number);
  }

  /** Reads whatever the log holds beyond what is known here. */
  async catchUp(deadline: number): Promise<void> {
    for (;;) {
      const records = await this.log.read(this.#configuration.number, deadline);
      if (records.length === 0) return;
      records.forEach((record) => this.advance(record));
    }
  }

  /**
   * Moves on to the record that follows. One that does not follow was written to another chain,
   * or changed since; accepting on top of it would give a version that every proxy refuses.
   */
  advance(record: VersionRecord): void {
    const { version, action, content } = record;
    const { number, parent, digest, note, change } = version;
    const next = this.#configuration.next(change);
    const follows = next.number === number && parent === this.#configuration.digest;
    if (!follows || next.digest !== digest) {
      throw new OutcomeError(`version ${number} does not follow version ${next.number - 1}`, {
        verdict: 'not-run',
        reason: 'broken-chain',
      });
    }
    this.#configuration = next;
    this.#entries.push({ number, note, action, content, resources: touched(change) });
  }
}

/** The end of the log as it is known here: the configuration there and what led to it lately. */
import { Configuration } from '../configuration/configuration.js';
import { GENESIS } from '../configuration/digest.js';
import {
  type Action,
  OutcomeError,
  type ResourceKey,
  type Snapshot,
  type VersionRecord,
} from '../contracts.js';
import { touched } from './evaluate.js';
import { type Log, PAGE } from './log.js';
import { type Snapshots } from './snapshots.js';

/** What is remembered of a version. */
export interface Entry {
  readonly number: number;
  readonly note: string;
  readonly action: Action;
  readonly content: string;
  /** Keys of the resources that the version touched. */
  readonly resources: readonly ResourceKey[];
}

/**
 * Remembers the versions after `floor` only. No version up to it needs to be remembered, because a
 * published snapshot covers it and the index of notes was complete up to there before that.
 */
export class Head {
  #configuration = Configuration.empty;

  /** Digest of the version before. */
  #parent = GENESIS;

  #entries: Entry[] = [];

  #floor = 0;

  #isStarted = false;

  constructor(
    private readonly log: Log,
    private readonly snapshots: Snapshots,
  ) {}

  get configuration(): Configuration {
    return this.#configuration;
  }

  get floor(): number {
    return this.#floor;
  }

  /** Remembered versions, oldest first. */
  get entries(): readonly Entry[] {
    return this.#entries;
  }

  snapshot(): Snapshot {
    const { number, digest } = this.#configuration;
    return { number, digest, parent: this.#parent, resources: this.#configuration.resources() };
  }

  /** Reads whatever the log holds beyond what is known here, at first from the latest snapshot. */
  async catchUp(deadline: number): Promise<void> {
    if (!this.#isStarted) await this.#start(deadline);
    for (;;) {
      const records = await this.log.read(this.#configuration.number, deadline);
      records.forEach((record) => this.advance(record));
      if (records.length < PAGE) return;
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
    this.#parent = parent;
    this.#entries.push({ number, note, action, content, resources: touched(change) });
  }

  /** Forgets versions up to `number`, which a published snapshot covers. */
  trim(number: number): void {
    this.#floor = Math.max(this.#floor, Math.min(number, this.#configuration.number));
    this.#entries = this.#entries.filter((entry) => entry.number > this.#floor);
  }

  async #start(deadline: number): Promise<void> {
    const snapshot = await this.snapshots.load(0, deadline);
    this.#isStarted = true;
    if (!snapshot) return;
    const { number, digest, parent, resources } = snapshot;
    const configuration = Configuration.of(number, digest, resources);
    // Parts are checked one by one; this finds a snapshot that lists the wrong ones.
    if (!configuration.matches(parent)) return;
    this.#configuration = configuration;
    this.#parent = parent;
    this.#floor = number;
  }
}

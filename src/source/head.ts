/** The end of the log as known to this process: its configuration and the latest versions. */
import { Configuration } from '../configuration/configuration.js';
import { GENESIS } from '../configuration/digest.js';
import {
  type Action,
  OutcomeError,
  type ResourceKey,
  type Snapshot,
  type VersionRecord,
} from '../contracts.js';
import { touchedKeys } from './evaluate.js';
import { type VersionLog, PAGE_SIZE } from './log.js';
import { type Snapshots } from './snapshots.js';

/** What is kept in memory of a version. */
export interface VersionSummary {
  readonly number: number;
  readonly note: string;
  readonly action: Action;
  readonly content: string;
  /** Keys of the resources that the version touched. */
  readonly resources: readonly ResourceKey[];
}

/**
 * Keeps only the versions after `floor`. Those up to `floor` are covered by a published snapshot,
 * and the index of notes was complete up to there before the snapshot was published.
 */
export class Head {
  #configuration = Configuration.empty;

  /** Digest of the previous version. */
  #parent = GENESIS;

  #entries: VersionSummary[] = [];

  #floor = 0;

  #isStarted = false;

  constructor(
    private readonly log: VersionLog,
    private readonly snapshots: Snapshots,
  ) {}

  get configuration(): Configuration {
    return this.#configuration;
  }

  get floor(): number {
    return this.#floor;
  }

  /** The versions after `floor`, oldest first. */
  get entries(): readonly VersionSummary[] {
    return this.#entries;
  }

  snapshot(): Snapshot {
    const { number, digest } = this.#configuration;
    return { number, digest, parent: this.#parent, resources: this.#configuration.resources() };
  }

  /** Reads the log to its end; the first call starts from the latest snapshot. */
  async catchUp(deadline: number): Promise<void> {
    if (!this.#isStarted) await this.#start(deadline);
    for (;;) {
      const records = await this.log.read(this.#configuration.number, deadline);
      records.forEach((record) => this.advance(record));
      if (records.length < PAGE_SIZE) return;
    }
  }

  /**
   * Applies the next record. A record that does not follow the head belongs to another chain or was
   * modified; a version accepted on top of it would be refused by every proxy. Throws
   * `broken-chain` (`not-run`).
   */
  advance(record: VersionRecord): void {
    const { version, action, content } = record;
    const { number, parent, digest, note, change } = version;
    const next = this.#configuration.next(change);
    const follows = next.number === number && parent === this.#configuration.digest;
    if (!follows || next.digest !== digest) {
      throw new OutcomeError(
        `version ${number} does not follow version ${next.number - 1}: number or digest mismatch`,
        { verdict: 'not-run', reason: 'broken-chain' },
      );
    }
    this.#configuration = next;
    this.#parent = parent;
    this.#entries.push({ number, note, action, content, resources: touchedKeys(change) });
  }

  /** Drops versions up to `number`, which a published snapshot covers. */
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
    // The parts were verified one by one; this detects a snapshot that lists the wrong parts.
    if (!configuration.matchesDigest(parent)) return;
    this.#configuration = configuration;
    this.#parent = parent;
    this.#floor = number;
  }
}

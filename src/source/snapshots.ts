/** Snapshots of the configuration, which save a starting process from replaying the whole log. */
import * as z from 'zod';
import { sha256 } from '../configuration/digest.js';
import {
  OutcomeError,
  Resource,
  resourceKey,
  type Snapshot,
  SnapshotRecord,
} from '../contracts.js';
import { type Platform, type Stored } from '../platform/platform.js';
import { type VersionLog } from './log.js';
import { partition } from './partition.js';
import { Parts } from './parts.js';

const KEY = 'snapshots/latest';
const Part = z.array(Resource);

export class Snapshots {
  readonly #parts: Parts;

  constructor(
    private readonly platform: Platform,
    private readonly log: VersionLog,
  ) {
    this.#parts = new Parts(platform);
  }

  /**
   * The latest snapshot, if it is of a version later than `after`. Also undefined if it is damaged:
   * replaying the log then gives the same configuration at a higher cost.
   */
  async load(after: number, deadline: number): Promise<Snapshot | undefined> {
    const latest = await this.#latest(deadline);
    if (!latest?.record || latest.record.number <= after) return undefined;
    try {
      return await this.#read(latest.record, deadline);
    } catch (error) {
      if (error instanceof OutcomeError && error.reason !== 'corrupt') throw error;
      return undefined;
    }
  }

  /**
   * Stores a snapshot unless one of the same or a later version exists; resolves to the number of
   * the latest. The record is replaced by conditional updates only, so a writer that was paused and
   * resumes late cannot replace a later snapshot.
   */
  async publish(snapshot: Snapshot, deadline: number): Promise<number> {
    for (;;) {
      const latest = await this.#latest(deadline);
      const published = latest?.record?.number ?? 0;
      if (published >= snapshot.number) return published;
      const record = await this.#writeParts(snapshot, latest?.record, deadline);
      const value = JSON.stringify(record);
      const written = latest
        ? await this.platform.update(KEY, value, latest.stored.revision, deadline)
        : await this.platform.create(KEY, value, deadline);
      if (written) return record.number;
    }
  }

  async #latest(deadline: number): Promise<Latest | undefined> {
    const stored = await this.platform.get(KEY, deadline);
    return stored && { stored, record: parseRecord(stored.value) };
  }

  async #read(record: SnapshotRecord, deadline: number): Promise<Snapshot> {
    const { number, digest, parent, parts } = record;
    // A snapshot of another chain would be applied, and every later version then refused. Comparing
    // it with the log's record of the same number detects this before it is used.
    const accepted = await this.log.get(number, deadline);
    if (accepted?.version.digest !== digest || accepted.version.parent !== parent) {
      const message = `snapshot does not match version ${number} of this log`;
      throw new OutcomeError(message, { verdict: 'not-run', reason: 'corrupt' });
    }
    const digests = parts.map((part) => part.digest);
    const texts = await this.#parts.get(digests, deadline);
    const resources = texts.flatMap((text) => Part.parse(JSON.parse(text)));
    return { number, digest, parent, resources };
  }

  /** Writes the parts that the previous record does not list; resolves to the new record. */
  async #writeParts(
    { number, digest, parent, resources }: Snapshot,
    previous: SnapshotRecord | undefined,
    deadline: number,
  ): Promise<SnapshotRecord> {
    const pivots = previous?.parts.map((part) => part.from) ?? [];
    const groups = partition(resources, pivots);
    const known = new Set(previous?.parts.map((part) => part.digest));
    const listed = groups.map((group) => {
      const text = JSON.stringify(group);
      return { from: resourceKey(group[0]!), digest: sha256(text), text };
    });
    const missing = listed.filter((part) => !known.has(part.digest));
    await this.#parts.put(
      missing.map((part) => part.text),
      deadline,
    );
    const parts = listed.map((part) => ({ from: part.from, digest: part.digest }));
    return { number, digest, parent, parts };
  }
}

interface Latest {
  readonly stored: Stored;
  /** Undefined if it cannot be parsed; the next snapshot then replaces it. */
  readonly record: SnapshotRecord | undefined;
}

function parseRecord(text: string): SnapshotRecord | undefined {
  try {
    return SnapshotRecord.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
}

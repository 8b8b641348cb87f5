/** The log of versions, stored in the platform as one object per version. */
import { Change, VersionRecord } from '../contracts.js';
import { type Platform, type Stored } from '../platform/platform.js';
import { joinChanges, splitChange } from './change_parts.js';
import { Parts } from './parts.js';

const PREFIX = 'versions/';
/** Digits of a version number in a key; enough for a million years at the design size. */
const DIGITS = 12;
/** Most records read in one call; limits the answer to a few megabytes. */
export const PAGE_SIZE = 64;
/** Longest record stored with its changes inline, in bytes; keeps a page of them readable. */
const MAX_INLINE_BYTES = 128_000;

export function versionKey(number: number): string {
  return `${PREFIX}${String(number).padStart(DIGITS, '0')}`;
}

export class VersionLog {
  readonly #parts: Parts;

  constructor(private readonly platform: Platform) {
    this.#parts = new Parts(platform);
  }

  /** Records after version `after`, a page at most; `undo` is empty if it is stored in parts. */
  async read(after: number, deadline: number): Promise<VersionRecord[]> {
    const range = { prefix: PREFIX, after: versionKey(after), limit: PAGE_SIZE };
    return this.#parse(await this.platform.list(range, deadline), deadline);
  }

  /** The record of one version, including `undo`. */
  async get(number: number, deadline: number): Promise<VersionRecord | undefined> {
    const stored = await this.platform.get(versionKey(number), deadline);
    const [record] = stored ? await this.#parse([stored], deadline) : [];
    if (!record?.parts) return record;
    return { ...record, undo: await this.#readChange(record.parts.undo, deadline) };
  }

  /** Like `read`, but waits for a record until the deadline. */
  async watch(after: number, deadline: number, signal: AbortSignal): Promise<VersionRecord[]> {
    const range = { prefix: PREFIX, after: versionKey(after), limit: PAGE_SIZE };
    const stored = await this.platform.watch(range, deadline, signal);
    return this.#parse(stored, deadline);
  }

  /**
   * Stores the changes of a record that is too long as parts, and returns a record that refers to
   * them; returns other records unchanged. Parts without a record, as left by a writer that lost a
   * race, do no harm.
   */
  async splitLargeRecord(record: VersionRecord, deadline: number): Promise<VersionRecord> {
    if (Buffer.byteLength(JSON.stringify(record)) <= MAX_INLINE_BYTES) return record;
    const { version, undo } = record;
    const parts = {
      change: await this.#parts.put(splitChange(version.change), deadline),
      undo: await this.#parts.put(splitChange(undo), deadline),
    };
    const empty = { put: [], remove: [] };
    return { ...record, version: { ...version, change: empty }, undo: empty, parts };
  }

  /**
   * Creates a record returned by `splitLargeRecord` under its number; false if the number is taken.
   */
  async append(record: VersionRecord, deadline: number): Promise<boolean> {
    const key = versionKey(record.version.number);
    return (await this.platform.create(key, JSON.stringify(record), deadline)) !== undefined;
  }

  async #parse(page: readonly Stored[], deadline: number): Promise<VersionRecord[]> {
    const records = page.map(({ value }) => VersionRecord.parse(JSON.parse(value)));
    for (const { version, parts } of records) {
      if (parts) version.change = await this.#readChange(parts.change, deadline);
    }
    return records;
  }

  async #readChange(digests: readonly string[], deadline: number): Promise<Change> {
    const texts = await this.#parts.get(digests, deadline);
    return joinChanges(texts.map((text) => Change.parse(JSON.parse(text))));
  }
}

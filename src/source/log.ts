/** The log of versions as it lies in the platform. */
import { Change, VersionRecord } from '../contracts.js';
import { type Platform, type Stored } from '../platform/platform.js';
import { joinChanges, splitChange } from './change_parts.js';
import { Parts } from './parts.js';

const PREFIX = 'versions/';
/** Wide enough for a million years at the design size. */
const DIGITS = 12;
/** Records read in one call; bounds the answer to some megabytes. */
export const PAGE = 64;
/** Longest record that is stored whole, in bytes, so that a page of them stays readable. */
const MAX_WHOLE_BYTES = 128_000;

export function versionKey(number: number): string {
  return `${PREFIX}${String(number).padStart(DIGITS, '0')}`;
}

export class Log {
  readonly #parts: Parts;

  constructor(private readonly platform: Platform) {
    this.#parts = new Parts(platform);
  }

  /** Records that follow version `after`, a page at most; `undo` only of those stored whole. */
  async read(after: number, deadline: number): Promise<VersionRecord[]> {
    const range = { prefix: PREFIX, after: versionKey(after), limit: PAGE };
    return this.#parse(await this.platform.list(range, deadline), deadline);
  }

  /** The record of one version, whole. */
  async get(number: number, deadline: number): Promise<VersionRecord | undefined> {
    const stored = await this.platform.get(versionKey(number), deadline);
    const [record] = stored ? await this.#parse([stored], deadline) : [];
    if (!record?.parts) return record;
    return { ...record, undo: await this.#change(record.parts.undo, deadline) };
  }

  /** Like `read`, but waits for a record until the deadline. */
  async watch(after: number, deadline: number, signal: AbortSignal): Promise<VersionRecord[]> {
    const range = { prefix: PREFIX, after: versionKey(after), limit: PAGE };
    const stored = await this.platform.watch(range, deadline, signal);
    return this.#parse(stored, deadline);
  }

  /**
   * The form of a record that fits into one value: its changes are stored apart if they are too
   * long. Parts without a record, left by a writer that lost its race, are in nobody's way.
   */
  async fitting(record: VersionRecord, deadline: number): Promise<VersionRecord> {
    if (Buffer.byteLength(JSON.stringify(record)) <= MAX_WHOLE_BYTES) return record;
    const { version, undo } = record;
    const parts = {
      change: await this.#parts.put(splitChange(version.change), deadline),
      undo: await this.#parts.put(splitChange(undo), deadline),
    };
    const nothing = { put: [], remove: [] };
    return { ...record, version: { ...version, change: nothing }, undo: nothing, parts };
  }

  /** Creates a fitting record under its number; false if another one holds that number. */
  async append(record: VersionRecord, deadline: number): Promise<boolean> {
    const key = versionKey(record.version.number);
    return (await this.platform.create(key, JSON.stringify(record), deadline)) !== undefined;
  }

  async #parse(page: readonly Stored[], deadline: number): Promise<VersionRecord[]> {
    const records = page.map(({ value }) => VersionRecord.parse(JSON.parse(value)));
    for (const { version, parts } of records) {
      if (parts) version.change = await this.#change(parts.change, deadline);
    }
    return records;
  }

  async #change(digests: readonly string[], deadline: number): Promise<Change> {
    const texts = await this.#parts.get(digests, deadline);
    return joinChanges(texts.map((text) => Change.parse(JSON.parse(text))));
  }
}

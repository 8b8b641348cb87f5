/** The log of versions as it lies in the platform. */
import { VersionRecord } from '../contracts.js';
import { type Platform, type Stored } from '../platform/platform.js';

const PREFIX = 'versions/';
/** Wide enough for a million years at the design size. */
const DIGITS = 12;
/** Records read in one call; bounds the answer to some megabytes. */
export const PAGE = 64;

export function versionKey(number: number): string {
  return `${PREFIX}${String(number).padStart(DIGITS, '0')}`;
}

export class Log {
  constructor(private readonly platform: Platform) {}

  /** Records that follow version `after`, a page at most. */
  async read(after: number, deadline: number): Promise<VersionRecord[]> {
    const range = { prefix: PREFIX, after: versionKey(after), limit: PAGE };
    return (await this.platform.list(range, deadline)).map(parse);
  }

  async get(number: number, deadline: number): Promise<VersionRecord | undefined> {
    const stored = await this.platform.get(versionKey(number), deadline);
    return stored && parse(stored);
  }

  /** Like `read`, but waits for a record until the deadline. */
  async watch(after: number, deadline: number, signal: AbortSignal): Promise<VersionRecord[]> {
    const range = { prefix: PREFIX, after: versionKey(after), limit: PAGE };
    return (await this.platform.watch(range, deadline, signal)).map(parse);
  }

  /** Creates the record under its number; false if another one holds that number. */
  async append(record: VersionRecord, deadline: number): Promise<boolean> {
    const key = versionKey(record.version.number);
    return (await this.platform.create(key, JSON.stringify(record), deadline)) !== undefined;
  }
}

function parse(stored: Stored): VersionRecord {
  return VersionRecord.parse(JSON.parse(stored.value));
}

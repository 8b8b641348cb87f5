/** Audit entries of proposals that were not accepted, stored in the platform beside the log. */
import { AuditEntry } from '../contracts.js';
import { type Platform } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { PAGE_SIZE } from './log.js';

const PREFIX = 'refusals/';
/** Digits of a time in a key, in milliseconds; enough for the next thirty thousand years. */
const DIGITS = 15;
/** Timeout of a write, in milliseconds: the answer to the operator must not wait longer for it. */
const WRITE_TIMEOUT_MS = 2_000;
/** Most resources, and most problems, listed in one entry. */
const MAX_LISTED = 50;
/** Longest text in an entry, in characters. */
const MAX_TEXT_LENGTH = 300;

/** An audit entry with the key that it is stored under. */
export interface StoredRefusal {
  readonly key: string;
  readonly entry: AuditEntry;
}

export class Refusals {
  constructor(
    private readonly platform: Platform,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * Writes one entry of limited size; false if the platform does not store it in time. A write with
   * a lost answer counts as failed and is not repeated: a copy under another key would show as a
   * second refusal.
   */
  async record(entry: AuditEntry): Promise<boolean> {
    const deadline = this.clock.now() + WRITE_TIMEOUT_MS;
    const at = String(Math.floor(entry.at)).padStart(DIGITS, '0');
    const key = `${PREFIX}${at}-${this.random.nonce()}`;
    try {
      const value = JSON.stringify(truncateEntry(entry));
      return (await this.platform.create(key, value, deadline)) !== undefined;
    } catch {
      return false;
    }
  }

  /** Entries after the key `after`, in time order, a page at most. */
  async read(after: string, deadline: number): Promise<StoredRefusal[]> {
    const range = { prefix: PREFIX, limit: PAGE_SIZE, ...(after !== '' && { after }) };
    const stored = await this.platform.list(range, deadline);
    return stored.map(({ key, value }) => ({ key, entry: AuditEntry.parse(JSON.parse(value)) }));
  }
}

/** Truncates long lists and long texts; `omitted` counts the list items left out. */
export function truncateEntry(entry: AuditEntry): AuditEntry {
  const resources = entry.resources.slice(0, MAX_LISTED).map(truncate);
  const problems = entry.problems.slice(0, MAX_LISTED);
  const listed = resources.length + problems.length;
  const omitted = entry.resources.length + entry.problems.length - listed;
  return {
    ...entry,
    author: truncate(entry.author),
    note: truncate(entry.note),
    resources,
    problems: problems.map(({ path, message }) => ({
      path: truncate(path),
      message: truncate(message),
    })),
    omitted,
  };
}

function truncate(text: string): string {
  return text.length > MAX_TEXT_LENGTH ? `${text.slice(0, MAX_TEXT_LENGTH - 1)}…` : text;
}

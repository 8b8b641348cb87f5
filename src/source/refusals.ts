/** Audit of what was not accepted, beside the log in the platform. */
import { AuditEntry } from '../contracts.js';
import { type Platform } from '../platform/platform.js';
import { type Clock } from '../runtime/clock.js';
import { type Random } from '../runtime/random.js';
import { PAGE } from './log.js';

const PREFIX = 'refusals/';
/** Wide enough for instants, in milliseconds, of the next thirty thousand years. */
const DIGITS = 15;
/** A refusal is written for people; one that cannot be written soon must not hold its answer up. */
const WRITE_TIMEOUT_MS = 2_000;
/** Most resources, and most problems, that one entry lists. */
const MAX_LISTED = 50;
/** Longest text in an entry, in characters. */
const MAX_TEXT = 300;

/** An entry of the trail with the key it is stored under. */
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
   * Writes one entry of bounded size; false if the platform does not take it in time. A lost
   * answer counts as not written: a second copy under another key would tell of two refusals.
   */
  async record(entry: AuditEntry): Promise<boolean> {
    const deadline = this.clock.now() + WRITE_TIMEOUT_MS;
    const at = String(Math.floor(entry.at)).padStart(DIGITS, '0');
    const key = `${PREFIX}${at}-${this.random.nonce()}`;
    try {
      const value = JSON.stringify(bounded(entry));
      return (await this.platform.create(key, value, deadline)) !== undefined;
    } catch {
      return false;
    }
  }

  /** Entries after a key, in time order, a page at most. */
  async read(after: string, deadline: number): Promise<StoredRefusal[]> {
    const range = { prefix: PREFIX, limit: PAGE, ...(after !== '' && { after }) };
    const stored = await this.platform.list(range, deadline);
    return stored.map(({ key, value }) => ({ key, entry: AuditEntry.parse(JSON.parse(value)) }));
  }
}

/** The entry with long lists and long texts cut. */
export function bounded(entry: AuditEntry): AuditEntry {
  const resources = entry.resources.slice(0, MAX_LISTED).map(cut);
  const problems = entry.problems.slice(0, MAX_LISTED);
  const listed = resources.length + problems.length;
  const omitted = entry.resources.length + entry.problems.length - listed;
  return {
    ...entry,
    author: cut(entry.author),
    note: cut(entry.note),
    resources,
    problems: problems.map(({ path, message }) => ({ path: cut(path), message: cut(message) })),
    omitted,
  };
}

function cut(text: string): string {
  return text.length > MAX_TEXT ? `${text.slice(0, MAX_TEXT - 1)}…` : text;
}

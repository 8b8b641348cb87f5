/** The audit trail: the log and the refusals beside it, read back in time order. */
import {
  type AuditCursor,
  type AuditEntry,
  type AuditPage,
  type VersionRecord,
} from '../contracts.js';
import { touched } from './evaluate.js';
import { type Log, PAGE } from './log.js';
import { bounded, type Refusals } from './refusals.js';

/** Where the trail begins. */
export const TRAIL_START: AuditCursor = { version: 0, refusal: '' };

export class Audit {
  constructor(
    private readonly log: Log,
    private readonly refusals: Refusals,
  ) {}

  /** The entries after `cursor`, a page of either kind at most. */
  async page(cursor: AuditCursor, deadline: number): Promise<AuditPage> {
    const [records, refusals] = await Promise.all([
      this.log.read(cursor.version, deadline),
      this.refusals.read(cursor.refusal, deadline),
    ]);
    const entries: AuditEntry[] = [];
    let { version, refusal } = cursor;
    for (;;) {
      const record = records[version - cursor.version];
      const refused = refusals[entries.length - (version - cursor.version)];
      // Beyond a full page there may be more of its kind, and earlier than the rest of the other.
      const isCut = (!record && records.length === PAGE) || (!refused && refusals.length === PAGE);
      if (isCut) return { entries, next: { version, refusal } };
      if (!record && !refused) return { entries };
      if (refused && (!record || refused.entry.at < record.version.acceptedAt)) {
        entries.push(refused.entry);
        refusal = refused.key;
      } else {
        entries.push(entryOf(record!));
        version += 1;
      }
    }
  }
}

function entryOf({ version, action, author }: VersionRecord): AuditEntry {
  return bounded({
    at: version.acceptedAt,
    author,
    action,
    note: version.note,
    outcome: 'accepted',
    version: version.number,
    resources: touched(version.change),
    problems: [],
    omitted: 0,
  });
}

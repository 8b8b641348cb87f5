/** The audit trail: merges the log and the stored refusals in time order. */
import {
  type AuditCursor,
  type AuditEntry,
  type AuditPage,
  type VersionRecord,
} from '../contracts.js';
import { touchedKeys } from './evaluate.js';
import { type VersionLog, PAGE_SIZE } from './log.js';
import { truncateEntry, type Refusals } from './refusals.js';

/** Cursor at the start of the trail. */
export const TRAIL_START: AuditCursor = { version: 0, refusal: '' };

export class Audit {
  constructor(
    private readonly log: VersionLog,
    private readonly refusals: Refusals,
  ) {}

  /** The entries after `cursor`: at most one page of versions and one of refusals. */
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
      // After a full page there may be more of that kind, earlier than the rest of the other kind.
      const isTruncated =
        (!record && records.length === PAGE_SIZE) || (!refused && refusals.length === PAGE_SIZE);
      if (isTruncated) return { entries, next: { version, refusal } };
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
  return truncateEntry({
    at: version.acceptedAt,
    author,
    action,
    note: version.note,
    outcome: 'accepted',
    version: version.number,
    resources: touchedKeys(version.change),
    problems: [],
    omitted: 0,
  });
}

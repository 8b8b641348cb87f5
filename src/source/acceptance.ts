/** How the handing in, or the check, of a release note ends. */
import { type Problem, type VersionRecord } from '../contracts.js';

/** It is in the log, now or since it was handed in before. */
export interface Accepted {
  readonly outcome: 'accepted';
  readonly record: VersionRecord;
  /** It had been accepted before, as this record; nothing was written. */
  readonly repeated: boolean;
  /** The note's latest version, where that is not the record's. */
  readonly supersededBy?: number;
}

/** It cannot be put in force, whatever others do. */
export interface Refused {
  readonly outcome: 'refused';
  readonly problems: readonly Problem[];
  /** Whether the refusal is in the audit trail; absent for a mere check. */
  readonly audited?: boolean;
}

/** A later note, or a rival one, touched the same resources. */
export interface Conflict {
  readonly outcome: 'conflict';
  readonly resources: readonly string[];
  /** The other note, the latest one if there are several. */
  readonly note: string;
  /** Whether the refusal is in the audit trail; absent for a mere check. */
  readonly audited?: boolean;
}

export type Acceptance = Accepted | Refused | Conflict;

/** It could be accepted on top of version `head` and would touch these resources. */
export interface Valid {
  readonly outcome: 'valid';
  readonly head: number;
  readonly resources: readonly string[];
}

export type Check = Valid | Acceptance;

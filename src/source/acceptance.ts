/** Results of proposing or checking a release note. */
import { type Problem, type VersionRecord } from '../contracts.js';

/** The note is in the log, as of now or from an earlier proposal with the same content. */
export interface Accepted {
  readonly outcome: 'accepted';
  readonly record: VersionRecord;
  /** Whether it had been accepted before, as this record; nothing was written then. */
  readonly repeated: boolean;
  /** Number of the note's latest version, if that is not the record's. */
  readonly supersededBy?: number;
}

/** The proposal is invalid for the listed problems. */
export interface Refused {
  readonly outcome: 'refused';
  readonly problems: readonly Problem[];
  /** Whether the refusal was written to the audit trail; absent for a check. */
  readonly audited?: boolean;
}

/** Another note has touched the same resources. */
export interface Conflict {
  readonly outcome: 'conflict';
  readonly resources: readonly string[];
  /** Id of the other note; the latest if there are several. */
  readonly note: string;
  /** Whether the refusal was written to the audit trail; absent for a check. */
  readonly audited?: boolean;
}

export type Acceptance = Accepted | Refused | Conflict;

/** The note could be accepted on top of version `head`, and would touch these resources. */
export interface Valid {
  readonly outcome: 'valid';
  readonly head: number;
  readonly resources: readonly string[];
}

export type Check = Valid | Acceptance;

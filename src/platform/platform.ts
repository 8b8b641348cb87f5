/** The platform's object API: versioned values, conditional updates and watches. */
import { CallMeter } from './call_meter.js';

/** A stored object. Every write to the store increases its revision, which is global. */
export interface Stored {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  /** Revision at which the object was created. */
  readonly created?: number;
  /** Status of what the value requests, as JSON; absent if none was written. */
  readonly status?: string;
}

/** The keys that a listing or a watch covers, and how many it returns. */
export interface KeyRange {
  readonly prefix: string;
  /** Only keys that sort after this one are returned. */
  readonly after?: string;
  readonly limit?: number;
}

/** All objects of one kind at one revision of the store. */
export interface Listing {
  readonly objects: readonly Stored[];
  /** Revision of the listing; changes are followed from here. */
  readonly asOf: number;
}

/** One changed or deleted object. */
export interface ObjectChange {
  readonly object: Stored;
  readonly isDeleted: boolean;
}

/** Changes to the objects of one kind since a revision; empty if there were none in time. */
export interface Changes {
  readonly changes: readonly ObjectChange[];
  readonly asOf: number;
}

/** Reason of the error when the store no longer holds the changes since a revision. */
export const HISTORY_GONE = 'history-gone';

/** The largest value the platform stores, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/**
 * Every call throws an `OutcomeError` when the platform is unreachable or does not answer by the
 * deadline (milliseconds since the epoch). For a write its verdict is `may-have-run` unless the
 * write provably was not sent, since an answer can be lost after the write took effect.
 */
export abstract class Platform {
  abstract get(key: string, deadline: number): Promise<Stored | undefined>;

  /** Counts the calls of this process and tracks whether the platform is available. */
  readonly meter = new CallMeter();

  /** The objects of a range, in key order. */
  abstract list(range: KeyRange, deadline: number): Promise<Stored[]>;

  /** Creates the key if absent; resolves to undefined if it exists already. */
  abstract create(key: string, value: string, deadline: number): Promise<Stored | undefined>;

  /** Replaces the value if its revision is still `revision`; undefined if it is not. */
  abstract update(
    key: string,
    value: string,
    revision: number,
    deadline: number,
  ): Promise<Stored | undefined>;

  /** Replaces the object's status if its revision is still `revision`; undefined if it is not. */
  abstract updateStatus(
    key: string,
    status: string,
    revision: number,
    deadline: number,
  ): Promise<Stored | undefined>;

  /** Removes the key if its revision is still `revision`; false if it is not. */
  abstract remove(key: string, revision: number, deadline: number): Promise<boolean>;

  /** All objects of a kind, which is the first part of their keys. */
  abstract listKind(kind: string, deadline: number): Promise<Listing>;

  /**
   * Waits for changes to objects of a kind after revision `asOf`, at most until the deadline. This
   * counts as one call however long it waits. Throws with reason `HISTORY_GONE` if the store no
   * longer holds the changes since `asOf`.
   */
  abstract waitForChanges(
    kind: string,
    asOf: number,
    deadline: number,
    signal?: AbortSignal,
  ): Promise<Changes>;

  /**
   * Waits until the range contains at least one object and returns its objects, or returns an empty
   * list at the deadline.
   */
  abstract watch(range: KeyRange, deadline: number, signal?: AbortSignal): Promise<Stored[]>;
}

/** Splits `kind/name`; the name may contain slashes. */
export function keyParts(key: string): { readonly kind: string; readonly name: string } {
  const slash = key.indexOf('/');
  if (slash < 0) return { kind: key, name: '' };
  return { kind: key.slice(0, slash), name: key.slice(slash + 1) };
}

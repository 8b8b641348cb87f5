/** The platform's object API: versioned values, conditional updates and watches. */

/** A stored value. Revisions rise over the whole store with every write. */
export interface Stored {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** Where a listing or a watch starts and how much it returns. */
export interface Range {
  readonly prefix: string;
  /** Only keys that sort after this one. */
  readonly after?: string;
  readonly limit?: number;
}

/** The largest value the platform stores, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/**
 * Every call throws an `OutcomeError` when the platform cannot be reached or does not answer by
 * the deadline (milliseconds since the epoch). Its verdict for a write is `may-have-run` unless
 * the write provably never left: an answer can be lost after the write took effect.
 */
export abstract class Platform {
  abstract get(key: string, deadline: number): Promise<Stored | undefined>;

  /** Stored values in key order. */
  abstract list(range: Range, deadline: number): Promise<Stored[]>;

  /** Creates the key if absent; resolves to undefined if it was there already. */
  abstract create(key: string, value: string, deadline: number): Promise<Stored | undefined>;

  /** Replaces the value if its revision is still `revision`; undefined if it is not. */
  abstract update(
    key: string,
    value: string,
    revision: number,
    deadline: number,
  ): Promise<Stored | undefined>;

  /** Removes the key if its revision is still `revision`. */
  abstract remove(key: string, revision: number, deadline: number): Promise<boolean>;

  /**
   * Waits until the range holds at least one value and returns it, or returns an empty list at
   * the deadline. One waiting watch counts as one call.
   */
  abstract watch(range: Range, deadline: number, signal?: AbortSignal): Promise<Stored[]>;
}

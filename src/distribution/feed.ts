/** The source from which readers get accepted versions. */
import { type Problem } from '../contracts.js';
import { HISTORY_GONE } from '../platform/platform.js';

/** Reason of the error when the source holds no configuration yet. */
export const ABSENT = 'absent';
/** Reasons of errors that the source itself has reported: it can be reached. */
export const SOURCE_ANSWERED: ReadonlySet<string> = new Set([HISTORY_GONE, ABSENT]);

export abstract class Feed {
  /**
   * Whether a version that was refused is read again by the next call. If not, the next call waits
   * for a later version.
   */
  abstract readonly repeatsRefused: boolean;

  /**
   * Brings the replica to a version that was the head at some time after this call. Resolves to
   * false if a version was refused on the way; rejects with an `UnreadableError` if the head does not
   * parse, and with another error if the source cannot be reached before `deadline`.
   */
  abstract catchUp(deadline: number): Promise<boolean>;

  /** Waits until `deadline` for later versions, and applies them; resolves like `catchUp`. */
  abstract follow(deadline: number, signal: AbortSignal): Promise<boolean>;
}

/** A version that does not parse; it is refused with these problems, and the one before stays. */
export class UnreadableError extends Error {
  constructor(readonly problems: readonly Problem[]) {
    super(problems.map(({ path, message }) => `${path}: ${message}`).join('; '));
    this.name = 'UnreadableError';
  }
}

/** Errors that state whether a request, or a write, may have taken effect. */
import ModernError from 'modern-errors';
import * as z from 'zod';

/**
 * - `not-run`: it is certain that the request did not reach the code that would run it.
 * - `may-have-run`: it was handed over, and its outcome is unknown.
 * - `ran`: it ran; the answer may still be an error of its own.
 */
export const Verdict = z.enum(['not-run', 'may-have-run', 'ran']);
export type Verdict = z.infer<typeof Verdict>;

interface VerdictProps {
  readonly verdict: Verdict;
  /** Machine-readable reason; stable across releases. */
  readonly reason: string;
  /** Instant before which a retry is pointless, in milliseconds since the epoch. */
  readonly retryAt?: number;
}

/** Base class of the errors that barleyhaven raises deliberately. */
export const BaseError = ModernError.subclass('BaseError');

/** Failure of a request or a write; `verdict` states whether it may have run. */
export class OutcomeError extends Error {
  readonly verdict: Verdict;

  readonly reason: string;

  readonly retryAt: number | undefined;

  constructor(message: string, props: VerdictProps, options?: ErrorOptions) {
    super(message, options);
    this.name = 'OutcomeError';
    this.verdict = props.verdict;
    this.reason = props.reason;
    this.retryAt = props.retryAt;
  }
}

/**
 * A refusal before anything ran; the caller may retry at `retryAt`, in milliseconds since the
 * epoch.
 */
export function notRun(reason: string, message: string, retryAt?: number): OutcomeError {
  const when = retryAt === undefined ? {} : { retryAt };
  return new OutcomeError(message, { verdict: 'not-run', reason, ...when });
}

/**
 * Converts any error to an `OutcomeError`. An unexpected error proves nothing, so its verdict is
 * `may-have-run`.
 */
export function asOutcome(error: unknown): OutcomeError {
  if (error instanceof OutcomeError) return error;
  return new OutcomeError(
    'the request failed unexpectedly',
    { verdict: 'may-have-run', reason: 'failed' },
    { cause: error },
  );
}

/** What is known about whether a request, or a write, took effect. */
import ModernError from 'modern-errors';
import * as z from 'zod';

/**
 * - `not-run`: proven not to have reached the code that would run it.
 * - `may-have-run`: it was handed over and the outcome is unknown.
 * - `ran`: it ran; the answer may be a failure of its own.
 */
export const Verdict = z.enum(['not-run', 'may-have-run', 'ran']);
export type Verdict = z.infer<typeof Verdict>;

interface VerdictProps {
  readonly verdict: Verdict;
  /** Machine-readable reason, stable across releases. */
  readonly reason: string;
  /** Instant before which a repeat is pointless, in milliseconds since the epoch. */
  readonly retryAt?: number;
}

/** Root of the errors that barleyhaven raises on purpose. */
export const BaseError = ModernError.subclass('BaseError');

/** A request or a write that did not end well; `verdict` says whether it may have run. */
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

/** A refusal that is proven; the caller may come back at `retryAt`, in milliseconds since the epoch. */
export function notRun(reason: string, message: string, retryAt?: number): OutcomeError {
  const when = retryAt === undefined ? {} : { retryAt };
  return new OutcomeError(message, { verdict: 'not-run', reason, ...when });
}

/** An error of any kind as an outcome. What nobody foresaw proves nothing. */
export function asOutcome(error: unknown): OutcomeError {
  if (error instanceof OutcomeError) return error;
  return new OutcomeError(
    'the request failed on its way',
    { verdict: 'may-have-run', reason: 'failed' },
    { cause: error },
  );
}

/** The time after which a refused caller should retry. */
import { OutcomeError } from '../contracts.js';
import { type Random } from '../runtime/random.js';

/** Retry delay for refusals without one, in milliseconds. */
const DEFAULT_RETRY_MS = 250;
/** Share of the delay by which retries of callers are spread out. */
const RETRY_SPREAD = 0.3;
/** Reasons for which a retry is of no use, or which set their own time. */
const FINAL: ReadonlySet<string> = new Set([
  'no-route',
  'unauthorized',
  'bad-request',
  'expectation-failed',
  'key-required',
  'key-reused',
  'body-too-large',
  'headers-too-large',
  'quarantined',
]);

/** Adds a retry time, with jitter, to a refusal that a later attempt may avoid. */
export function withRetryTime(outcome: OutcomeError, now: number, random: Random): OutcomeError {
  const { verdict, reason, retryAt = now + DEFAULT_RETRY_MS, message } = outcome;
  if (verdict !== 'not-run' || FINAL.has(reason)) return outcome;
  const spread = random.jitter(Math.max(0, retryAt - now) * RETRY_SPREAD);
  return new OutcomeError(message, { verdict, reason, retryAt: retryAt - spread });
}

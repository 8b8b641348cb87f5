/** When a caller who was not served is told to come back. */
import { OutcomeError } from '../contracts.js';
import { type Random } from '../runtime/random.js';

/** Where nothing better is known, in milliseconds. */
const RETRY_MS = 250;
/** Part of the wait by which the returns of callers are spread. */
const RETRY_SPREAD = 0.3;
/** Reasons for which to come back is of no use, or has its own time. */
const FINAL: ReadonlySet<string> = new Set([
  'no-route',
  'bad-request',
  'expectation-failed',
  'key-required',
  'key-reused',
  'body-too-large',
  'headers-too-large',
  'quarantined',
]);

/** Adds the time to a refusal that may end well later; not the same instant for all. */
export function withReturnTime(outcome: OutcomeError, now: number, random: Random): OutcomeError {
  const { verdict, reason, retryAt = now + RETRY_MS, message } = outcome;
  if (verdict !== 'not-run' || FINAL.has(reason)) return outcome;
  const spread = random.jitter(Math.max(0, retryAt - now) * RETRY_SPREAD);
  return new OutcomeError(message, { verdict, reason, retryAt: retryAt - spread });
}

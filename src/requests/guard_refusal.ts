/** Refusals received from a guard. */
import { type IncomingMessage } from 'node:http';
import { OutcomeError, Verdict } from '../contracts.js';
import { headerOf, REASON, RETRY_AFTER, VERDICT } from './headers.js';

const MS_PER_SECOND = 1000;

/**
 * The refusal in a guard's response; undefined for the response of an upstream instance. Only a guard
 * can have set these headers: it drops those that an upstream instance sends.
 */
export function parseGuardRefusal(answer: IncomingMessage, now: number): OutcomeError | undefined {
  const { data: verdict = 'may-have-run' } = Verdict.safeParse(headerOf(answer, VERDICT));
  const reason = headerOf(answer, REASON) ?? 'refused';
  if (verdict === 'ran' && headerOf(answer, REASON) === undefined) return undefined;
  const seconds = Number(headerOf(answer, RETRY_AFTER));
  const retry = seconds > 0 ? { retryAt: now + seconds * MS_PER_SECOND } : {};
  const message = `guard reported failure: ${reason}`;
  return new OutcomeError(message, { verdict, reason, ...retry });
}

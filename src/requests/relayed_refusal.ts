/** Refusals that come from the process beside an upstream. */
import { type IncomingMessage } from 'node:http';
import { OutcomeError, Verdict } from '../contracts.js';
import { headerOf, REASON, RETRY_AFTER, VERDICT } from './headers.js';

const MS_PER_SECOND = 1000;

/**
 * What a guard's answer says of a request that did not end well; undefined for an answer of the
 * upstream instance. Only a guard can have set these headers: it
 * drops those that an upstream instance sends.
 */
export function refusalIn(answer: IncomingMessage, now: number): OutcomeError | undefined {
  const { data: verdict = 'may-have-run' } = Verdict.safeParse(headerOf(answer, VERDICT));
  const reason = headerOf(answer, REASON) ?? 'refused';
  if (verdict === 'ran' && headerOf(answer, REASON) === undefined) return undefined;
  const seconds = Number(headerOf(answer, RETRY_AFTER));
  const when = seconds > 0 ? { retryAt: now + seconds * MS_PER_SECOND } : {};
  const message = `the process beside the upstream refused: ${reason}`;
  return new OutcomeError(message, { verdict, reason, ...when });
}

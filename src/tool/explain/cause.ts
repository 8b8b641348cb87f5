/** Explains in one paragraph how a request ended and why, from its log lines. */
import { type Line } from '../../logs/events.js';
import { type RequestTimeline } from './timeline.js';

type LineOf<Event extends Line['event']> = Extract<Line, { readonly event: Event }>;

/** Explanation of each reason for which a request can end. */
const REASON_TEXTS: Readonly<Record<string, string>> = {
  'no-route': 'no route of the active configuration matches',
  unauthorized:
    'the route needs the key of a team, and the request had none that the configuration in force knows: no key, an unknown or withdrawn one, or not in the form "Authorization: Token KEY"',
  quota: 'its team was at its quota, which all processes share',
  'not-ready': 'the process had no configuration yet',
  'no-endpoint': 'no upstream instance that accepts requests was known',
  overloaded: 'no slot would have become free in time',
  shed: 'the upstream instance itself was at capacity',
  draining: 'the upstream instance or its guard was shutting down',
  stopping: 'the process that its caller had sent it to was about to end',
  deadline: 'no response arrived within the timeout of the caller or the route',
  cancelled: 'the caller disconnected first',
  unreachable: 'no connection to the guard of the upstream instance could be made',
  unacknowledged: 'the guard of the upstream instance did not acknowledge the request',
  connection: 'the connection broke after the request had been sent',
  silent: 'the response stalled',
  crossed: 'the response belonged to another request',
  quarantined: 'the request is quarantined because it crashed upstream instances',
  'store-unavailable':
    'the platform did not store the claim that ensures the request runs at most once',
};

/** Why the request was not sent to another upstream instance. */
const DENIAL_TEXTS: Readonly<Record<string, string>> = {
  'not-sendable': 'its caller was no longer waiting, or its body was not buffered',
  'no-other-endpoint': 'there was no other endpoint',
  'retries-off': 'its limit disables retries',
  'attempts-used': 'it had used all attempts that its route allows',
  'moves-used': 'two other endpoints had refused it too',
  'not-repeatable': 'it may have run already and must not run twice',
  'budget-spent': 'the retry budget was used up or no time was left',
};

const SERVER_ERROR = 500;

/** States explicitly what the lines do not show, such as a missing end of the request. */
export function causeOf(timeline: RequestTimeline): string {
  const ended = findLastLine(timeline, 'entry-ended');
  if (!ended) return unfinishedText(timeline) ?? missingEndText(timeline);
  if (ended.verdict === 'ran') return answerText(ended, timeline);
  const parts = [
    `${endText(ended)}.`,
    ...appliedTexts(ended, timeline),
    ...failedAttemptTexts(timeline),
    ...stateChangeTexts(timeline),
  ];
  const denial = findLastLine(timeline, 'not-resent');
  if (denial) parts.push(`It was not retried: ${DENIAL_TEXTS[denial.denial] ?? denial.denial}.`);
  return parts.join(' ');
}

function endText(ended: LineOf<'entry-ended'>): string {
  const { verdict, reason, message, retryAfterMs } = ended;
  const team = ended.team === undefined ? '' : `, team ${ended.team}`;
  const meaning = REASON_TEXTS[reason] ?? message ?? reason;
  const what = verdict === 'cut' ? 'Its response was cut off' : `It ended as ${verdict}`;
  const when =
    retryAfterMs === undefined ? '' : `; the caller was told to retry after ${retryAfterMs} ms`;
  return `${what} (${reason}${team}): ${meaning}${when}`;
}

function answerText({ status, tookMs }: LineOf<'entry-ended'>, { lines }: RequestTimeline): string {
  const isFailure = (status ?? 0) >= SERVER_ERROR;
  const admitted = lines.find((line): line is LineOf<'admitted'> => line.event === 'admitted');
  const waited = admitted ? `, including ${admitted.waitedMs} ms in the queue` : '';
  const what = `The upstream instance answered ${status} after ${tookMs} ms${waited}`;
  return isFailure ? `${what}; the error comes from the instance itself.` : `${what}.`;
}

/** Refusals by what the configuration says about teams, which a version just before may have changed. */
const TEAM_REASONS: ReadonlySet<string> = new Set(['unauthorized', 'quota']);

/** Versions that the process applied shortly before it refused the request because of its team. */
function appliedTexts(ended: LineOf<'entry-ended'>, { around }: RequestTimeline): string[] {
  if (!TEAM_REASONS.has(ended.reason)) return [];
  return around
    .filter((line): line is LineOf<'applied'> => line.event === 'applied')
    .filter(({ instance, at }) => instance === ended.instance && at <= ended.at)
    .map(({ version, at }) => `Version ${version} was applied there ${ended.at - at} ms before.`);
}

/** Endpoint and reason of each failed attempt, with what the guard at that endpoint logged. */
function failedAttemptTexts({ lines }: RequestTimeline): string[] {
  return lines
    .filter((line): line is LineOf<'attempt-failed'> => line.event === 'attempt-failed')
    .map(({ endpoint, reason, exchange, tookMs }) => {
      const guard = lines.find(
        (line): line is LineOf<'guard-ended'> =>
          line.event === 'guard-ended' && line.exchange === exchange,
      );
      const guardText = guard
        ? ` (logged there: ${guard.reason}, ${guard.inFlight} of ${guard.slots} slots in use, ${guard.waiting} waiting)`
        : ' (nothing was logged there)';
      return `The attempt at ${endpoint} failed with ${reason} after ${tookMs} ms${guardText}.`;
    });
}

/** State changes of the endpoints that were tried, shortly before or after the request. */
function stateChangeTexts({ lines, around }: RequestTimeline): string[] {
  const tried = new Set(lines.map((line) => ('endpoint' in line ? line.endpoint : line.instance)));
  const found: string[] = [];
  for (const line of around) {
    if (line.event === 'endpoint-changed' && line.state !== 'ready' && tried.has(line.endpoint)) {
      found.push(`${line.endpoint} was ${line.state}.`);
    } else if (line.event === 'liveness-changed' && line.liveness !== 'alive') {
      if (tried.has(line.endpoint)) found.push(`${line.endpoint} was ${line.liveness}.`);
    } else if (line.event === 'stopping' && tried.has(line.instance)) {
      found.push(`${line.instance} was stopping.`);
    } else if (line.event === 'started' && tried.has(line.instance)) {
      found.push(`${line.instance} had just started.`);
    }
  }
  return [...new Set(found)];
}

/** What is known of a request that was cut by the stop of the process that its caller had sent it to. */
function unfinishedText({ lines }: RequestTimeline): string | undefined {
  const cut = lines.findLast(
    (line): line is LineOf<'unfinished'> => line.event === 'unfinished' && line.hop === 'entry',
  );
  if (!cut) return undefined;
  const { instance, status, tookMs } = cut;
  const sent = lines.findLast((line): line is LineOf<'sent'> => line.event === 'sent');
  const sentText = sent
    ? `it had been sent to ${sent.endpoint}`
    : 'no line says that it had been sent on';
  const where = status === undefined ? sentText : `response ${status} had begun`;
  return `${instance} stopped ${tookMs} ms after it had accepted the request: ${where}.`;
}

function missingEndText({ lines, dropped }: RequestTimeline): string {
  const droppedText =
    dropped > 0 ? `${dropped} log lines were dropped` : 'no dropped log lines were reported';
  if (lines.length === 0) {
    return `No log line contains its id (${droppedText}). Either it was served and not logged, it never reached a process, or the process that accepted it was killed before it ended.`;
  }
  return `The process that accepted it from its caller did not log its end (${droppedText}): that process was killed, or its log lines are not in these files.`;
}

function findLastLine<Event extends Line['event']>(
  { lines }: RequestTimeline,
  event: Event,
): LineOf<Event> | undefined {
  return lines.findLast((line): line is LineOf<Event> => line.event === event);
}

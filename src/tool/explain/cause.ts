/** Names the cause of what became of a request, from its lines. */
import { type Line } from '../../logs/events.js';
import { type Story } from './story.js';

type Of<Event extends Line['event']> = Extract<Line, { readonly event: Event }>;

/** What each reason means for the request, and for whoever looks into it. */
const MEANINGS: Readonly<Record<string, string>> = {
  'no-route': 'no route of the configuration in force there fits',
  'not-ready': 'the process knew no configuration yet',
  'no-endpoint': 'no upstream instance was known that takes work',
  overloaded: 'no slot would have been free in time',
  shed: 'the upstream instance itself had no room',
  draining: 'the upstream instance, or the process beside it, was leaving',
  deadline: 'no answer came within the time that the caller, or the route, gave it',
  cancelled: 'the caller went away first',
  unreachable: 'no connection to the process beside the upstream instance could be made',
  unacknowledged: 'the process beside the upstream instance did not react',
  connection: 'the connection broke after the request had been sent',
  silent: 'the answer came to a standstill',
  crossed: 'the answer belonged to another request',
  quarantined: 'the request has crashed upstream instances and is kept out',
  'store-unavailable': 'the platform did not take the claim for its single run',
};

/** Why the request was not sent to another upstream instance. */
const DENIALS: Readonly<Record<string, string>> = {
  'not-sendable': 'nobody waited for it any more, or its body was not kept',
  'no-other-endpoint': 'there was no other endpoint',
  'retries-off': 'its limit allows no retries',
  'attempts-used': 'its route allows no more attempts',
  'moves-used': 'two other endpoints had refused it as well',
  'not-repeatable': 'it must not run twice, and may have run',
  'budget-spent': 'the budget for retries was spent, or no time was left',
};

const SERVER_ERROR = 500;

/** One paragraph; says so where the lines do not tell. */
export function causeOf(story: Story): string {
  const ended = last(story, 'entry-ended');
  if (!ended) return withoutEntry(story);
  if (ended.verdict === 'ran') return answered(ended, story);
  const parts = [`${sentenceOf(ended)}.`, ...attemptsOf(story), ...inputsOf(story)];
  const denial = last(story, 'not-resent');
  if (denial) parts.push(`It was not sent again: ${DENIALS[denial.denial] ?? denial.denial}.`);
  return parts.join(' ');
}

function sentenceOf({ verdict, reason, message, retryAfterMs }: Of<'entry-ended'>): string {
  const meaning = MEANINGS[reason] ?? message ?? reason;
  const what = verdict === 'cut' ? 'Its answer was cut' : `It ended ${verdict}`;
  const when = retryAfterMs === undefined ? '' : `; the caller was told to wait ${retryAfterMs} ms`;
  return `${what} (${reason}): ${meaning}${when}`;
}

function answered({ status, tookMs }: Of<'entry-ended'>, { lines }: Story): string {
  const isFailure = (status ?? 0) >= SERVER_ERROR;
  const admitted = lines.find((line): line is Of<'admitted'> => line.event === 'admitted');
  const waited = admitted ? `, of which ${admitted.waitedMs} ms before it was begun` : '';
  const what = `The upstream instance answered ${status} after ${tookMs} ms${waited}`;
  return isFailure ? `${what}; that failure is its own.` : `${what}.`;
}

/** Where each failed attempt went, and what the far end says of it. */
function attemptsOf({ lines }: Story): string[] {
  return lines
    .filter((line): line is Of<'attempt-failed'> => line.event === 'attempt-failed')
    .map(({ endpoint, reason, exchange, tookMs }) => {
      const guard = lines.find(
        (line): line is Of<'guard-ended'> =>
          line.event === 'guard-ended' && line.exchange === exchange,
      );
      const said = guard
        ? ` (there: ${guard.reason}, ${guard.inFlight} of ${guard.slots} slots in use, ${guard.waiting} waiting)`
        : ' (nothing is written there)';
      return `${endpoint} failed it with ${reason} after ${tookMs} ms${said}.`;
    });
}

/** Changes around it that bear on the reason. */
function inputsOf({ lines, around }: Story): string[] {
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

function withoutEntry({ lines, dropped }: Story): string {
  const lost = dropped > 0 ? `${dropped} lines were dropped` : 'no lines are said to be dropped';
  if (lines.length === 0) {
    return `No line names it (${lost}). Either it was served and left out, it never reached a process, or the process that took it was killed before it ended.`;
  }
  return `The process that took it from its caller has written no end of it (${lost}): that process was killed, or its lines are not in these files.`;
}

function last<Event extends Line['event']>({ lines }: Story, event: Event): Of<Event> | undefined {
  return lines.findLast((line): line is Of<Event> => line.event === event);
}

/** Collects the log lines of one request from several processes, and related events around it. */
import { type Line } from '../../logs/events.js';
import { type LogLines } from './log_lines.js';

/** How long before its first and after its last line other events count as related, in ms. */
const BEFORE_MS = 3_000;
const AFTER_MS = 1_000;

export interface RequestTimeline {
  readonly id: string;
  /** In time order; clocks of machines may differ by some milliseconds. */
  readonly lines: readonly Line[];
  /** Events around it that were logged by, or are about, the processes involved. */
  readonly around: readonly Line[];
  readonly unreadable: number;
  /** Log lines that processes reported as dropped, for all requests. */
  readonly dropped: number;
}

export function buildTimeline(id: string, { lines: all, unreadable }: LogLines): RequestTimeline {
  const named = all.filter((line) => line.id === id);
  const exchanges = new Set(named.map(exchangeOf).filter((exchange) => exchange !== undefined));
  const lines = all
    .filter((line) => line.id === id || exchanges.has(exchangeOf(line) ?? ''))
    .sort((one, other) => one.at - other.at);
  return {
    id,
    lines,
    around: relatedEvents(lines, all),
    unreadable,
    dropped: droppedLineCount(all),
  };
}

function exchangeOf(line: Line): string | undefined {
  return 'exchange' in line ? line.exchange : undefined;
}

/** Lines about no particular request, logged around `lines` by or about the same processes. */
function relatedEvents(lines: readonly Line[], all: readonly Line[]): Line[] {
  const first = lines[0];
  const last = lines.at(-1);
  if (!first || !last) return [];
  const involved = new Set(lines.flatMap(processesOf));
  const from = first.at - BEFORE_MS;
  const until = last.at + AFTER_MS;
  return all
    .filter((line) => line.id === undefined && line.at >= from && line.at <= until)
    .filter((line) => processesOf(line).some((name) => involved.has(name)))
    .filter((line, index, kept) => kept.findIndex((other) => isSameChange(line, other)) === index)
    .sort((one, other) => one.at - other.at);
}

/** The process that logged a line and, if there is one, the endpoint that it is about. */
function processesOf(line: Line): string[] {
  return 'endpoint' in line ? [line.instance, line.endpoint] : [line.instance];
}

/** Whether two lines report the same change: many processes log it, and one line is enough. */
function isSameChange(one: Line, other: Line): boolean {
  if (one === other) return true;
  if (one.event !== other.event || !('endpoint' in one) || !('endpoint' in other)) return false;
  return contentOf(one) === contentOf(other);
}

function contentOf(line: Line): string {
  const { at, instance, ...content } = line;
  return JSON.stringify(content);
}

function droppedLineCount(lines: readonly Line[]): number {
  let sum = 0;
  for (const line of lines) {
    if (line.event === 'lines-dropped') sum += line.routine + line.important;
  }
  return sum;
}

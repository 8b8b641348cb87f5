/** The lines of one request over several processes, and what else happened around it. */
import { type Line } from '../../logs/events.js';
import { type LogLines } from './log_lines.js';

/** How long before and after a request changes of belief matter to it, in milliseconds. */
const BEFORE_MS = 3_000;
const AFTER_MS = 1_000;

export interface Story {
  readonly id: string;
  /** In order of time; clocks of machines may differ by some milliseconds. */
  readonly lines: readonly Line[];
  /** Changes of belief around it at the processes concerned, or about them. */
  readonly around: readonly Line[];
  readonly unreadable: number;
  /** Lines that processes say they have dropped, in all. */
  readonly dropped: number;
}

export function storyOf(id: string, { lines: all, unreadable }: LogLines): Story {
  const named = all.filter((line) => line.id === id);
  const exchanges = new Set(named.map(exchangeOf).filter((exchange) => exchange !== undefined));
  const lines = all
    .filter((line) => line.id === id || exchanges.has(exchangeOf(line) ?? ''))
    .sort((one, other) => one.at - other.at);
  return { id, lines, around: aroundOf(lines, all), unreadable, dropped: droppedOf(all) };
}

function exchangeOf(line: Line): string | undefined {
  return 'exchange' in line ? line.exchange : undefined;
}

/** A start that was never written about ends before it: the whole of `tookMs` is looked at. */
function aroundOf(lines: readonly Line[], all: readonly Line[]): Line[] {
  const first = lines[0];
  const last = lines.at(-1);
  if (!first || !last) return [];
  const concerned = new Set(lines.flatMap(processesOf));
  const from = first.at - BEFORE_MS;
  const until = last.at + AFTER_MS;
  return all
    .filter((line) => line.id === undefined && line.at >= from && line.at <= until)
    .filter((line) => processesOf(line).some((name) => concerned.has(name)))
    .filter((line, index, kept) => kept.findIndex((other) => saysTheSame(line, other)) === index)
    .sort((one, other) => one.at - other.at);
}

/** The process that wrote a line, and the one that it is about. */
function processesOf(line: Line): string[] {
  return 'endpoint' in line ? [line.instance, line.endpoint] : [line.instance];
}

/** Many processes hear of the same change; the first one's line is enough. */
function saysTheSame(one: Line, other: Line): boolean {
  if (one === other) return true;
  if (one.event !== other.event || !('endpoint' in one) || !('endpoint' in other)) return false;
  return wordsOf(one) === wordsOf(other);
}

function wordsOf(line: Line): string {
  const { at, instance, ...words } = line;
  return JSON.stringify(words);
}

function droppedOf(lines: readonly Line[]): number {
  let sum = 0;
  for (const line of lines) {
    if (line.event === 'lines-dropped') sum += line.routine + line.important;
  }
  return sum;
}

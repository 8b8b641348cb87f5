/** Renders the output of `explain`: the timeline of one request and the cause of its end. */
import { type Line } from '../../logs/events.js';
import { table } from '../table.js';
import { causeOf } from './cause.js';
import { type RequestTimeline } from './timeline.js';

/** Fields that have a column of their own or are the same in all lines. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set(['at', 'instance', 'event', 'id', 'level']);

export function renderTimeline(timeline: RequestTimeline): string {
  const { lines, around, unreadable } = timeline;
  const start = lines[0]?.at ?? 0;
  const parts = [`request ${timeline.id}`, ...rowsOf(lines, start)];
  if (around.length > 0) parts.push('related events', ...rowsOf(around, start));
  if (unreadable > 0) parts.push(`${unreadable} malformed log lines were skipped`);
  parts.push(`cause: ${causeOf(timeline)}`);
  return parts.join('\n');
}

function rowsOf(lines: readonly Line[], start: number): string[] {
  return table(
    lines.map((line) => [`${line.at - start} ms`, line.instance, line.event, fieldsText(line)]),
  ).map((row) => `  ${row}`);
}

function fieldsText(line: Line): string {
  return Object.entries(line)
    .filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');
}

/** Prints what is known of one request. */
import { type Line } from '../../logs/events.js';
import { table } from '../table.js';
import { causeOf } from './cause.js';
import { type Story } from './story.js';

/** In every line, or of no use to a reader. */
const SHOWN_ELSEWHERE: ReadonlySet<string> = new Set(['at', 'instance', 'event', 'id', 'level']);

export function renderStory(story: Story): string {
  const { lines, around, unreadable } = story;
  const start = lines[0]?.at ?? 0;
  const parts = [`request ${story.id}`, ...rowsOf(lines, start)];
  if (around.length > 0) parts.push('around it', ...rowsOf(around, start));
  if (unreadable > 0) parts.push(`${unreadable} lines could not be read`);
  parts.push(`cause: ${causeOf(story)}`);
  return parts.join('\n');
}

function rowsOf(lines: readonly Line[], start: number): string[] {
  return table(
    lines.map((line) => [`${line.at - start} ms`, line.instance, line.event, particularsOf(line)]),
  ).map((row) => `  ${row}`);
}

function particularsOf(line: Line): string {
  return Object.entries(line)
    .filter(([name]) => !SHOWN_ELSEWHERE.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');
}

/** Text for the audit trail. */
import { type AuditEntry } from '../contracts.js';
import { printable, table } from './table.js';

/** Resources named in a row; the rest is counted. */
const MAX_NAMED = 3;

export function renderAudit(entries: readonly AuditEntry[]): string {
  const rows = table(entries.map(rowOf));
  return entries.flatMap((entry, index) => [rows[index]!, ...reasonsOf(entry)]).join('\n');
}

function rowOf(entry: AuditEntry): string[] {
  const { at, outcome, version, author, action, note } = entry;
  const place = version === undefined ? '-' : `v${version}`;
  return [instant(at), outcome, place, author, action, note, what(entry)];
}

function reasonsOf({ problems, omitted, rival }: AuditEntry): string[] {
  const reasons = problems.map(({ path, message }) => `${path}: ${message}`);
  if (problems.length > 0 && omitted > 0) reasons.push(`and ${omitted} more`);
  if (rival) reasons.push(`touched by note ${rival} as well`);
  return reasons.map((reason) => `    ${printable(reason)}`);
}

function what({ resources, problems, omitted }: AuditEntry): string {
  const named = resources.slice(0, MAX_NAMED).join(' ');
  const unlisted = problems.length > 0 ? 0 : omitted;
  const more = resources.length - Math.min(resources.length, MAX_NAMED) + unlisted;
  return more > 0 ? `${named} and ${more} more` : named;
}

/** An instant to the second, in UTC. */
export function instant(at: number): string {
  return new Date(at)
    .toISOString()
    .replace('T', ' ')
    .replace(/\.\d+Z$/, 'Z');
}

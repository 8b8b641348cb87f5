/** Renders the output of `audit`: one row per entry, followed by its problems. */
import { type AuditEntry } from '../contracts.js';
import { printable, table } from './table.js';

/** Resources listed in a row; the others are only counted. */
const MAX_LISTED_RESOURCES = 3;

export function renderAudit(entries: readonly AuditEntry[]): string {
  const rows = table(entries.map(rowOf));
  return entries.flatMap((entry, index) => [rows[index]!, ...reasonsOf(entry)]).join('\n');
}

function rowOf(entry: AuditEntry): string[] {
  const { at, outcome, version, author, action, note } = entry;
  const versionText = version === undefined ? '-' : `v${version}`;
  return [formatInstant(at), outcome, versionText, author, action, note, resourceList(entry)];
}

function reasonsOf({ problems, omitted, rival }: AuditEntry): string[] {
  const reasons = problems.map(({ path, message }) => `${path}: ${message}`);
  if (problems.length > 0 && omitted > 0) reasons.push(`and ${omitted} more`);
  if (rival) reasons.push(`touched by note ${rival} as well`);
  return reasons.map((reason) => `    ${printable(reason)}`);
}

function resourceList({ resources, problems, omitted }: AuditEntry): string {
  const named = resources.slice(0, MAX_LISTED_RESOURCES).join(' ');
  const unlisted = problems.length > 0 ? 0 : omitted;
  const more = resources.length - Math.min(resources.length, MAX_LISTED_RESOURCES) + unlisted;
  return more > 0 ? `${named} and ${more} more` : named;
}

/** Formats milliseconds since the epoch as UTC, to the second. */
export function formatInstant(at: number): string {
  return new Date(at)
    .toISOString()
    .replace('T', ' ')
    .replace(/\.\d+Z$/, 'Z');
}

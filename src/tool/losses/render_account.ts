/** Prints where requests were lost. */
import { table } from '../table.js';
import { type Account, type Crowding, type Ends, type Row } from './account.js';

const HEAD = ['second', 'route', 'data centre', 'asked', 'in time', 'late', 'refused', 'failed'];
const PERCENT = 100;

export function renderAccount(account: Account): string {
  const { total, rows, crowding, unreadable, dropped } = account;
  const lossy = rows.filter(({ asked, inTime }) => inTime < asked);
  const parts = [
    `${total.asked} asked: ${shares(total)}`,
    'seconds and routes on which anything was lost',
    ...indented([[...HEAD, 'came back', 'reasons'], ...lossy.map(cellsOf)]),
  ];
  if (crowding.length > 0) {
    parts.push('refused for lack of room, by the lines that were kept');
    parts.push(...crowding.map((each) => `  ${sentenceOf(each)}`));
  }
  if (unreadable > 0) parts.push(`${unreadable} lines could not be read`);
  if (dropped > 0) parts.push(`${dropped} lines were dropped by their processes`);
  return parts.join('\n');
}

function shares({ asked, inTime, late, refused, failed }: Ends): string {
  const share = (count: number) => `${count} (${((count / asked) * PERCENT || 0).toFixed(1)}%)`;
  return `in time ${share(inTime)}, late ${share(late)}, refused ${share(refused)}, failed ${share(failed)}`;
}

function cellsOf(row: Row): string[] {
  const { second, route, dataCentre, asked, inTime, late, refused, failed, returned } = row;
  const reasons = Object.entries(row.reasons).map(([reason, count]) => `${reason} ${count}`);
  const counts = [asked, inTime, late, refused, failed, returned].map(String);
  return [String(second), route, dataCentre, ...counts, reasons.join(', ')];
}

function sentenceOf({ route, refusals, withRoomElsewhere, unknown, ageMs }: Crowding): string {
  const age = withRoomElsewhere > 0 ? ` (seen ${Math.round(ageMs)} ms before, on average)` : '';
  return `${route}: ${refusals} looked at, ${withRoomElsewhere} with a slot free elsewhere${age}, ${unknown} of which nothing is known`;
}

function indented(rows: readonly (readonly string[])[]): string[] {
  return table(rows).map((row) => `  ${row}`);
}

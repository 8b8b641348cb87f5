/** Renders the output of `losses`: when and where requests were late, refused or failed. */
import { table } from '../table.js';
import {
  type LossReport,
  type OverloadRefusals,
  type RequestCounts,
  type Row,
} from './loss_report.js';

const HEADINGS = [
  'second',
  'route',
  'data centre',
  'asked',
  'in time',
  'late',
  'refused',
  'failed',
];
const PERCENT = 100;

export function renderLossReport(report: LossReport): string {
  const { total, rows, crowding, unreadable, dropped } = report;
  const rowsWithLosses = rows.filter(({ asked, inTime }) => inTime < asked);
  const parts = [
    `${total.asked} requests: ${countsText(total)}`,
    'seconds and routes with late, refused or failed requests',
    ...indented([[...HEADINGS, 'returned', 'reasons'], ...rowsWithLosses.map(rowCells)]),
  ];
  if (crowding.length > 0) {
    parts.push('refused as overloaded, according to the log lines that were kept');
    parts.push(...crowding.map((each) => `  ${overloadText(each)}`));
  }
  if (unreadable > 0) parts.push(`${unreadable} malformed log lines were skipped`);
  if (dropped > 0) parts.push(`${dropped} log lines were dropped by the processes`);
  return parts.join('\n');
}

function countsText({ asked, inTime, late, refused, failed }: RequestCounts): string {
  const share = (count: number) => `${count} (${((count / asked) * PERCENT || 0).toFixed(1)}%)`;
  return `in time ${share(inTime)}, late ${share(late)}, refused ${share(refused)}, failed ${share(failed)}`;
}

function rowCells(row: Row): string[] {
  const { second, route, dataCentre, asked, inTime, late, refused, failed, returned } = row;
  const reasons = Object.entries(row.reasons).map(([reason, count]) => `${reason} ${count}`);
  const counts = [asked, inTime, late, refused, failed, returned].map(String);
  return [String(second), route, dataCentre, ...counts, reasons.join(', ')];
}

function overloadText({
  route,
  refusals,
  withRoomElsewhere,
  unknown,
  ageMs,
}: OverloadRefusals): string {
  const age = withRoomElsewhere > 0 ? ` (reported ${Math.round(ageMs)} ms earlier on average)` : '';
  return `${route}: ${refusals} refusals, ${withRoomElsewhere} with a free slot at another endpoint${age}, ${unknown} without data on other endpoints`;
}

function indented(rows: readonly (readonly string[])[]): string[] {
  return table(rows).map((row) => `  ${row}`);
}

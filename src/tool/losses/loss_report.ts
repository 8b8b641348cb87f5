/** Counts late, refused and failed requests from the log lines of all processes. */
import { type Line } from '../../logs/events.js';
import { type LogLines } from '../explain/log_lines.js';
import { FreeSlotHistory } from './free_slots.js';

type LineOf<Event extends Line['event']> = Extract<Line, { readonly event: Event }>;

const MS_PER_SECOND = 1_000;
const UNKNOWN = 'unknown';

/** Requests by outcome; `asked` is the sum of the other four. */
export interface RequestCounts {
  asked: number;
  inTime: number;
  late: number;
  refused: number;
  failed: number;
}

/** Requests for one route at the processes of one data centre, in one second. */
export interface Row extends RequestCounts {
  /** Seconds since the earliest log line. */
  readonly second: number;
  readonly route: string;
  readonly dataCentre: string;
  /** Requests whose caller had been refused before. */
  returned: number;
  /** Number of refused and failed requests by reason. */
  readonly reasons: Record<string, number>;
}

/** Refusals of one route as overloaded, as far as their log lines were kept. */
export interface OverloadRefusals {
  readonly route: string;
  /** Number of refusals examined. */
  refusals: number;
  /** Refusals at a time when the latest log line of some endpoint of the upstream showed a free slot. */
  withRoomElsewhere: number;
  /** Refusals without a recent log line of any endpoint of the upstream. */
  unknown: number;
  /** Average age of the log lines that showed the free slots, in milliseconds. */
  ageMs: number;
}

export interface LossReport {
  readonly total: RequestCounts;
  readonly rows: readonly Row[];
  readonly crowding: readonly OverloadRefusals[];
  /** Lines that look like log lines of this software but do not parse. */
  readonly unreadable: number;
  /** Log lines that processes reported as dropped. */
  readonly dropped: number;
}

export function buildLossReport({ lines, unreadable }: LogLines): LossReport {
  const startAt = lines.reduce((least, { at }) => Math.min(least, at), Infinity);
  const dataCentres = dataCentresByInstance(lines);
  const rows = new Map<string, Row>();
  const total = zeroCounts();
  let dropped = 0;
  for (const line of lines) {
    if (line.event === 'lines-dropped') dropped += line.routine + line.important;
    if (line.event !== 'tally') continue;
    const second = Math.floor((line.at - startAt) / MS_PER_SECOND);
    const dataCentre = dataCentres.get(line.instance) ?? UNKNOWN;
    const key = `${second} ${line.route} ${dataCentre}`;
    const row = rows.get(key) ?? {
      second,
      route: line.route,
      dataCentre,
      ...zeroCounts(),
      returned: 0,
      reasons: {},
    };
    rows.set(key, row);
    addCounts(row, line);
    addCounts(total, line);
    addReasons(row, line);
  }
  const sorted = [...rows.values()].sort(compareRows);
  return { total, rows: sorted, crowding: overloadRefusals(lines), unreadable, dropped };
}

function addCounts(
  sum: RequestCounts,
  { asked, inTime, late, refused, failed }: RequestCounts,
): void {
  sum.asked += asked;
  sum.inTime += inTime;
  sum.late += late;
  sum.refused += refused;
  sum.failed += failed;
}

function addReasons(row: Row, { returned, reasons }: LineOf<'tally'>): void {
  row.returned += returned;
  for (const [reason, count] of Object.entries(reasons)) {
    row.reasons[reason] = (row.reasons[reason] ?? 0) + count;
  }
}

function overloadRefusals(lines: readonly Line[]): OverloadRefusals[] {
  const freeSlots = new FreeSlotHistory(lines);
  const found = new Map<string, OverloadRefusals>();
  for (const line of lines) {
    if (line.event !== 'entry-ended' || line.reason !== 'overloaded') continue;
    const { route = UNKNOWN, upstream = UNKNOWN } = line;
    const entry = found.get(route) ?? {
      route,
      refusals: 0,
      withRoomElsewhere: 0,
      unknown: 0,
      ageMs: 0,
    };
    found.set(route, entry);
    entry.refusals += 1;
    const slot = freeSlots.at(upstream, line.at);
    if (slot === 'unknown') entry.unknown += 1;
    else if (slot !== 'none') {
      entry.withRoomElsewhere += 1;
      entry.ageMs += (slot.ageMs - entry.ageMs) / entry.withRoomElsewhere;
    }
  }
  return [...found.values()];
}

function dataCentresByInstance(lines: readonly Line[]): ReadonlyMap<string, string> {
  const found = new Map<string, string>();
  for (const line of lines) {
    if (line.event === 'started') found.set(line.instance, line.dataCentre);
    if (line.event === 'sent') found.set(line.endpoint, line.dataCentre);
  }
  return found;
}

function zeroCounts(): RequestCounts {
  return { asked: 0, inTime: 0, late: 0, refused: 0, failed: 0 };
}

function compareRows(a: Row, b: Row): number {
  return (
    a.second - b.second ||
    a.route.localeCompare(b.route) ||
    a.dataCentre.localeCompare(b.dataCentre)
  );
}

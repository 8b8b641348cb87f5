/** Adds up where requests were lost, from the lines of all processes. */
import { type Line } from '../../logs/events.js';
import { type LogLines } from '../explain/log_lines.js';
import { Rooms } from './rooms.js';

type Of<Event extends Line['event']> = Extract<Line, { readonly event: Event }>;

const MS_PER_SECOND = 1_000;
const UNKNOWN = 'unknown';

/** Ends of requests; `asked` is the sum of the four others. */
export interface Ends {
  asked: number;
  inTime: number;
  late: number;
  refused: number;
  failed: number;
}

/** What happened on one route at the processes of one data centre, in one second. */
export interface Row extends Ends {
  /** Seconds since the first line. */
  readonly second: number;
  readonly route: string;
  readonly dataCentre: string;
  /** Of the callers, those who had been turned away before. */
  returned: number;
  /** Why requests were refused or failed. */
  readonly reasons: Record<string, number>;
}

/** Refusals for lack of room on one route, of which lines were kept. */
export interface Crowding {
  readonly route: string;
  /** Refusals looked at. */
  refusals: number;
  /** Those at whose instant another endpoint of the upstream was seen with a slot free. */
  withRoomElsewhere: number;
  /** Those at which no line tells of the others. */
  unknown: number;
  /** Average age of what was known of that endpoint, in milliseconds. */
  ageMs: number;
}

export interface Account {
  readonly total: Ends;
  readonly rows: readonly Row[];
  readonly crowding: readonly Crowding[];
  /** Lines that look like ours and are not. */
  readonly unreadable: number;
  /** Lines that processes say they have dropped. */
  readonly dropped: number;
}

export function accountOf({ lines, unreadable }: LogLines): Account {
  const startAt = lines.reduce((least, { at }) => Math.min(least, at), Infinity);
  const dataCentres = dataCentresIn(lines);
  const rows = new Map<string, Row>();
  const total = noEnds();
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
      ...noEnds(),
      returned: 0,
      reasons: {},
    };
    rows.set(key, row);
    addEnds(row, line);
    addEnds(total, line);
    addReasons(row, line);
  }
  const sorted = [...rows.values()].sort(bySecond);
  return { total, rows: sorted, crowding: crowdingOf(lines), unreadable, dropped };
}

function addEnds(sum: Ends, { asked, inTime, late, refused, failed }: Ends): void {
  sum.asked += asked;
  sum.inTime += inTime;
  sum.late += late;
  sum.refused += refused;
  sum.failed += failed;
}

function addReasons(row: Row, { returned, reasons }: Of<'tally'>): void {
  row.returned += returned;
  for (const [reason, count] of Object.entries(reasons)) {
    row.reasons[reason] = (row.reasons[reason] ?? 0) + count;
  }
}

function crowdingOf(lines: readonly Line[]): Crowding[] {
  const rooms = new Rooms(lines);
  const found = new Map<string, Crowding>();
  for (const line of lines) {
    if (line.event !== 'entry-ended' || line.reason !== 'overloaded') continue;
    const { route = UNKNOWN, upstream = UNKNOWN } = line;
    const crowding = found.get(route) ?? {
      route,
      refusals: 0,
      withRoomElsewhere: 0,
      unknown: 0,
      ageMs: 0,
    };
    found.set(route, crowding);
    crowding.refusals += 1;
    const room = rooms.at(upstream, line.at);
    if (room === 'unknown') crowding.unknown += 1;
    else if (room !== 'none') {
      crowding.withRoomElsewhere += 1;
      crowding.ageMs += (room.ageMs - crowding.ageMs) / crowding.withRoomElsewhere;
    }
  }
  return [...found.values()];
}

function dataCentresIn(lines: readonly Line[]): ReadonlyMap<string, string> {
  const found = new Map<string, string>();
  for (const line of lines) {
    if (line.event === 'started') found.set(line.instance, line.dataCentre);
    if (line.event === 'sent') found.set(line.endpoint, line.dataCentre);
  }
  return found;
}

function noEnds(): Ends {
  return { asked: 0, inTime: 0, late: 0, refused: 0, failed: 0 };
}

function bySecond(a: Row, b: Row): number {
  return (
    a.second - b.second ||
    a.route.localeCompare(b.route) ||
    a.dataCentre.localeCompare(b.dataCentre)
  );
}

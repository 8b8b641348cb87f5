/** Judges from outside what callers saw while processes ended. */
import { type MeshFleet } from '../bench/mesh_fleet.js';
import {
  describeEnd,
  endRequests,
  isAsked,
  type ProcessEnd,
  type SentSignal,
} from '../bench/process_end.js';
import { type CallRecord } from '../bench/stops/caller.js';
import { isLongAtStop } from '../bench/stops/long_request.js';
import { GRACE_MS } from '../bench/stops/stop_series.js';
import { EXIT_SETTINGS } from '../daemon/exit.js';
import { type SettingsGap } from './settings_writer.js';

/** Time from the last failed read of the settings to the exit, in milliseconds. */
const EXIT_MS = 500;
/** Part of its grace period that a process of the platform reserves for its exit, in milliseconds. */
const STOP_MARGIN_MS = 400;

/**
 * - `answered`: a whole response arrived, whatever its status.
 * - `not-run`: none arrived, and no upstream instance had begun to run it.
 * - `excused`: cut by a crash, or too long for a stop to wait for it.
 * - `starved`: cut by a stop in which its process waited for a processor for longer than the part of its
 *   grace period that it reserves for its exit.
 * - `lost`: cut by a process that was running, or that should have waited for it.
 * - `cut`: cut by a process that ended unasked.
 */
export type CallVerdict = 'answered' | 'not-run' | 'excused' | 'starved' | 'lost' | 'cut';

export interface Verdict {
  readonly ends: number;
  /** Ends that nobody asked for, from the first line of the program on. */
  readonly unasked: readonly string[];
  /** The same before the first line of the program. */
  readonly beforeFirstLine: readonly string[];
  /** Ends of starts that found no whole settings file for long, because the harness was late. */
  readonly withoutSettings: readonly string[];
  readonly calls: Readonly<Record<CallVerdict, number>>;
  /** Counts of the responses by status. */
  readonly statuses: Readonly<Record<string, number>>;
  readonly starved: readonly string[];
  readonly lost: readonly string[];
  readonly cut: readonly string[];
}

export function verdictOf(
  fleet: MeshFleet,
  calls: readonly CallRecord[],
  gaps: readonly SettingsGap[],
): Verdict {
  const { ends } = fleet;
  const endOf = new Map(ends.map((end) => [end.pid, end]));
  const judged = calls.map((call) => ({
    call,
    end: endOf.get(call.pid),
    verdict: verdictOfCall(fleet, call, endOf.get(call.pid)),
  }));
  const unasked = ends.filter((end) => !isAsked(end));
  const late = unasked.filter((end) => isWithoutSettings(end, gaps));
  const listOf = (wanted: CallVerdict) =>
    judged
      .filter(({ verdict }) => verdict === wanted)
      .map(({ call, end }) => describeCall(call, end));
  return {
    ends: ends.length,
    unasked: unasked
      .filter((end) => !end.isBeforeFirstLine && !late.includes(end))
      .map(describeEnd),
    withoutSettings: late.map(describeEnd),
    beforeFirstLine: unasked.filter(({ isBeforeFirstLine }) => isBeforeFirstLine).map(describeEnd),
    calls: {
      answered: 0,
      'not-run': 0,
      excused: 0,
      starved: 0,
      lost: 0,
      cut: 0,
      ...countsOf(judged.map(({ verdict }) => verdict)),
    },
    statuses: countsOf(calls.flatMap(({ status }) => status ?? [])),
    starved: listOf('starved'),
    lost: listOf('lost'),
    cut: listOf('cut'),
  };
}

function isWithoutSettings({ name, code, endedAt }: ProcessEnd, gaps: readonly SettingsGap[]) {
  return (
    code === EXIT_SETTINGS &&
    gaps.some((gap) => gap.machine === name && gap.from < endedAt && endedAt < gap.until + EXIT_MS)
  );
}

function verdictOfCall(
  fleet: MeshFleet,
  call: CallRecord,
  end: ProcessEnd | undefined,
): CallVerdict {
  if (call.status !== undefined) return 'answered';
  if (!fleet.hasRun(call.id)) return 'not-run';
  if (!end) return 'lost';
  if (!isAsked(end)) return 'cut';
  const requests = endRequests(end);
  const [first] = requests;
  if (call.endedAt < first!.at) return 'lost';
  if (isCrash(requests)) return 'excused';
  if (isLongAtStop(call, fleet.workEndsAt(call.id), first!.at)) return 'excused';
  return end.waitedMs - first!.waitedMs > STOP_MARGIN_MS ? 'starved' : 'lost';
}

/** Whether the process was killed before the grace period of a stop was over. */
function isCrash([first, ...others]: readonly SentSignal[]): boolean {
  const killed = [first!, ...others].find(({ signal }) => signal === 'SIGKILL');
  return killed !== undefined && (killed === first || killed.at < first!.at + GRACE_MS);
}

function describeCall({ id, pid, sentAt, endedAt }: CallRecord, end: ProcessEnd | undefined) {
  const took = `${id} to pid ${pid}: closed ${Math.round(endedAt - sentAt)} ms after it was sent`;
  if (!end) return `${took}, the process runs`;
  return `${took}, ${Math.round(end.endedAt - endedAt)} ms before ${describeEnd(end)}`;
}

function countsOf(values: readonly (string | number)[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const value of values) counts[value] = (counts[value] ?? 0) + 1;
  return counts;
}

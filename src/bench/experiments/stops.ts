import { MeshFleet } from '../mesh_fleet.js';
import { Experiment, type Options, type Result } from '../experiment.js';
import { SeededRandom } from '../../runtime/random.js';
import { Caller, type CallRecord, type CallerOptions } from '../stops/caller.js';
import { isLongAtStop } from '../stops/long_request.js';
import { type Stop, StopSeries } from '../stops/stop_series.js';

const RUN_MS = 60_000;
const ANSWER_BYTES = 2_000;
/** Callers per machine, by what they do. */
const CALLERS: readonly { count: number; options: Omit<CallerOptions, 'machine'> }[] = [
  { count: 6, options: { keepsConnection: true, workMs: [10, 600] } },
  { count: 6, options: { keepsConnection: false, workMs: [10, 300] } },
  { count: 4, options: { keepsConnection: true, workMs: [2_400, 3_800] } },
];

/**
 * Requests that ran and got no whole response around a planned stop, while processes of the
 * platform's build are stopped and restarted in series, and callers use their connections until the
 * process is gone.
 */
export class Stops extends Experiment {
  readonly name = 'stops';

  override readonly defaultProcesses = 4;

  async run({ processes, seed, progress }: Options): Promise<Result> {
    const random = new SeededRandom(seed);
    await using fleet = await MeshFleet.start(this.clock, {
      processes,
      dataCentres: 2,
      services: ['listings', 'bookings'],
      routes: 4,
      delayMs: 0,
      bytes: ANSWER_BYTES,
    });
    await fleet.waitUntilReady();
    progress('stopping');
    const callers = this.#callers(fleet, random);
    const series = new StopSeries(fleet, this.clock, random);
    const ending = new AbortController();
    const running = [series, ...callers].map((one) => one.run(ending.signal));
    await this.clock.sleepUntil(this.clock.now() + RUN_MS);
    progress('ending');
    ending.abort();
    await Promise.all(running);
    const calls = callers.flatMap((caller) => caller.calls);
    return resultOf(fleet, series.stops, calls);
  }

  #callers(fleet: MeshFleet, random: SeededRandom): Caller[] {
    return fleet.machines.flatMap((_, machine) =>
      CALLERS.flatMap(({ count, options }, kind) =>
        Array.from({ length: count }, (__, index) => {
          const name = `caller-${machine}-${kind}-${index}`;
          return new Caller(name, fleet, { ...options, machine }, this.clock, random);
        }),
      ),
    );
  }
}

function resultOf(fleet: MeshFleet, stops: readonly Stop[], calls: readonly CallRecord[]): Result {
  const cut = calls.filter(({ status, id }) => status === undefined && fleet.hasRun(id));
  const lost = cut.filter((call) => !isExcused(fleet, call, stopOf(call, stops)));
  const counts: Record<string, number> = {};
  for (const { status } of calls) {
    const name = status === undefined ? 'none' : String(status);
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return {
    stops: stops.length,
    killed: stops.filter(({ exitCode }) => exitCode !== 0).map(describeStop),
    longestStopMs: Math.max(...stops.map(({ signalledAt, exitedAt }) => exitedAt - signalledAt)),
    calls: calls.length,
    counts,
    cut: cut.length,
    lost: lost.map((call) => describeCall(call, stopOf(call, stops))),
  };
}

/** The stop of its machine during which a request ended. */
function stopOf({ machine, sentAt, endedAt }: CallRecord, stops: readonly Stop[]) {
  return stops.find(
    (stop) => stop.machine === machine && sentAt < stop.exitedAt && endedAt >= stop.signalledAt,
  );
}

/** Whether the promise of a stop does not cover that request: it was long, or the process was paused. */
function isExcused(fleet: MeshFleet, call: CallRecord, stop: Stop | undefined): boolean {
  if (!stop) return false;
  if (stop.isPaused) return true;
  return isLongAtStop(call, fleet.workEndsAt(call.id), stop.signalledAt);
}

function describeStop({ machine, signalledAt, exitedAt, isPaused }: Stop): string {
  const tookMs = Math.round(exitedAt - signalledAt);
  return `machine ${machine} ended ${tookMs} ms after the signal${isPaused ? ', paused meanwhile' : ''}`;
}

function describeCall(call: CallRecord, stop: Stop | undefined): string {
  if (!stop) return `${call.id}: cut without a stop`;
  const sentMs = Math.round(call.sentAt - stop.signalledAt);
  const cutMs = Math.round(call.endedAt - stop.signalledAt);
  return `${call.id}: sent ${sentMs} ms after the signal, cut after ${cutMs} ms`;
}

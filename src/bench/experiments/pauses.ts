import { MeshFleet } from '../mesh_fleet.js';
import { Experiment, type Options, type Result } from '../experiment.js';
import { SeededRandom } from '../../runtime/random.js';
import { type PublishedVersion, PauseSeries, type Wave, WAVES } from '../pauses/pause_series.js';

const DATA_CENTRES = 4;
const ROUTES = 4;
const ROUNDS = 2;
const SETTLE_MS = 14_000;
const CALL_INTERVAL_MS = 150;
/** Time from the acknowledgement of a version until it has to be in force, in milliseconds. */
const APPLY_MS = 2_000;
/** A route that an older version lacks gets this status. */
const NOT_FOUND = 404;

/** A request on the route of one version, by a machine that was never paused meanwhile. */
interface Call {
  readonly version: PublishedVersion;
  readonly machine: number;
  /** Time from the acknowledgement of the version, in milliseconds. */
  readonly sentMs: number;
  readonly status: number | undefined;
}

/**
 * Requests handled by an old version, while processes of the platform's build are paused: readers,
 * those that take over from them, or any. A paused process keeps its connections and answers nothing.
 */
export class Pauses extends Experiment {
  readonly name = 'pauses';

  override readonly defaultProcesses = 24;

  async run({ processes, seed, progress }: Options): Promise<Result> {
    const random = new SeededRandom(seed);
    await using fleet = await MeshFleet.start(this.clock, {
      processes,
      dataCentres: DATA_CENTRES,
      services: ['listings', 'bookings', 'host-files'],
      routes: ROUTES,
      delayMs: 0,
      bytes: 100,
    });
    await fleet.waitUntilReady();
    await this.#sleep(SETTLE_MS);
    const series = new PauseSeries(fleet, this.clock, random);
    const calls: Call[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const wave of WAVES) {
        progress(wave);
        calls.push(...(await this.#playWave(wave, series, fleet)));
      }
    }
    series.resume();
    return resultOf(calls);
  }

  async #playWave(wave: Wave, series: PauseSeries, fleet: MeshFleet): Promise<Call[]> {
    const ending = new AbortController();
    const calling = this.#callNewest(series, fleet, ending.signal);
    await series.play(wave);
    ending.abort();
    return calling;
  }

  /** Calls the newest routes at all machines that run. */
  async #callNewest(series: PauseSeries, fleet: MeshFleet, signal: AbortSignal): Promise<Call[]> {
    const calls: Promise<Call>[] = [];
    const everPaused = new Set<number>();
    while (!signal.aborted) {
      series.paused.forEach((machine) => everPaused.add(machine));
      const due = series.versions.filter(({ acknowledgedAt }) => this.#isDue(acknowledgedAt));
      for (const version of due) {
        for (const machine of fleet.machines.keys()) {
          if (!everPaused.has(machine)) calls.push(this.#call(fleet, version, machine));
        }
      }
      await this.#sleep(CALL_INTERVAL_MS);
    }
    return Promise.all(calls);
  }

  /** Checks a version for some seconds, from the moment from which it has to be in force. */
  #isDue(acknowledgedAt: number): boolean {
    const age = this.clock.now() - acknowledgedAt;
    return age > APPLY_MS && age < 3 * APPLY_MS;
  }

  async #call(fleet: MeshFleet, version: PublishedVersion, machine: number): Promise<Call> {
    const sentMs = this.clock.now() - version.acknowledgedAt;
    const id = `call-${version.route}-${machine}-${Math.round(sentMs)}`;
    const status = await fleet.send(machine, version.route, id).catch(() => undefined);
    return { version, machine, sentMs, status };
  }

  #sleep(ms: number): Promise<void> {
    return this.clock.sleepUntil(this.clock.now() + ms);
  }
}

function resultOf(calls: readonly Call[]): Result {
  const byWave = WAVES.map((wave) => {
    const ofWave = calls.filter(({ version }) => version.wave === wave);
    const late = ofWave.filter(({ status }) => status === NOT_FOUND);
    const latestMs = Math.round(Math.max(0, ...late.map(({ sentMs }) => sentMs)));
    const machines = new Set(late.map(({ machine }) => machine)).size;
    return [wave, { calls: ofWave.length, late: late.length, machines, latestMs }];
  });
  return Object.fromEntries(byWave) as Result;
}

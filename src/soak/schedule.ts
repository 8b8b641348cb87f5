/** Draws when which fault happens, before a run and from the seed only. */
import { SeededRandom, type Random } from '../runtime/random.js';

/** What happens to the fleet. */
export type Fault =
  | { readonly kind: 'restart'; readonly machine: number; readonly signal: 'SIGTERM' | 'SIGKILL' }
  | { readonly kind: 'reload'; readonly machines: readonly number[] }
  | { readonly kind: 'version' };

export interface PlannedFault {
  /** From the start of the run, in milliseconds. */
  readonly atMs: number;
  readonly fault: Fault;
}

/** How a process that has ended is started again. */
export interface PlannedStart {
  readonly delayMs: number;
  /** When the started process is told to reload its settings, from its start, in milliseconds. */
  readonly reloadsMs: readonly number[];
}

export interface Schedule {
  /** Ordered by time. */
  readonly faults: readonly PlannedFault[];
  /** The starts of each machine, in their order. */
  readonly starts: readonly (readonly PlannedStart[])[];
}

export interface ScheduleOptions {
  readonly seed: number;
  readonly machines: number;
  readonly runMs: number;
}

const MAX_RESTART_GAP_MS = 2_000;
const KILL_SHARE = 0.25;
const MAX_RELOAD_GAP_MS = 3_000;
const RELOAD_ALL_SHARE = 0.3;
const RELOADED = 3;
const MAX_STORM_GAP_MS = 5_000;
const MAX_STORM_VERSIONS = 6;
const VERSION_INTERVAL_MS = 300;
const MAX_START_DELAY_MS = 300;
const MAX_RELOADS = 2;
const MAX_RELOAD_DELAY_MS = 2_500;
const STARTS_PER_SECOND = 1;
const MS_PER_SECOND = 1_000;

/** The same options give the same schedule. */
export function scheduleOf(options: ScheduleOptions): Schedule {
  // A generator for each series, so that a new kind of fault leaves the other series as they are.
  const series = [restarts, reloads, versions].map((draw, index) =>
    draw(options, new SeededRandom(options.seed * MAX_SERIES + index)),
  );
  const faults = series.flat().sort((one, other) => one.atMs - other.atMs);
  const random = new SeededRandom(options.seed * MAX_SERIES + MAX_SERIES - 1);
  const starts = Array.from({ length: options.machines }, () => startsOf(options, random));
  return { faults, starts };
}

/** Generators for each seed. */
const MAX_SERIES = 16;

function restarts({ machines, runMs }: ScheduleOptions, random: Random): PlannedFault[] {
  return instants(runMs, MAX_RESTART_GAP_MS, random).map((atMs) => {
    const machine = random.below(machines);
    const signal = random.next() < KILL_SHARE ? 'SIGKILL' : 'SIGTERM';
    return { atMs, fault: { kind: 'restart', machine, signal } };
  });
}

function reloads({ machines, runMs }: ScheduleOptions, random: Random): PlannedFault[] {
  return instants(runMs, MAX_RELOAD_GAP_MS, random).map((atMs) => {
    const all = random.shuffled(Array.from({ length: machines }, (_, index) => index));
    const reloaded = random.next() < RELOAD_ALL_SHARE ? all : all.slice(0, RELOADED);
    return { atMs, fault: { kind: 'reload', machines: reloaded } };
  });
}

/** Versions in storms that do not overlap. */
function versions({ runMs }: ScheduleOptions, random: Random): PlannedFault[] {
  const planned: PlannedFault[] = [];
  let atMs = random.jitter(MAX_STORM_GAP_MS);
  while (atMs < runMs) {
    const count = 1 + random.below(MAX_STORM_VERSIONS);
    for (let version = 0; version < count; version++) {
      planned.push({ atMs, fault: { kind: 'version' } });
      atMs += VERSION_INTERVAL_MS;
    }
    atMs += random.jitter(MAX_STORM_GAP_MS);
  }
  return planned;
}

function startsOf({ runMs }: ScheduleOptions, random: Random): PlannedStart[] {
  const count = Math.ceil((runMs / MS_PER_SECOND) * STARTS_PER_SECOND);
  return Array.from({ length: count }, () => {
    const delayMs = random.jitter(MAX_START_DELAY_MS);
    const reloadCount = random.below(MAX_RELOADS + 1);
    // Over half of the reloads come in the first third, while most processes are still starting.
    const delays = Array.from(
      { length: reloadCount },
      () => random.next() * random.jitter(MAX_RELOAD_DELAY_MS),
    );
    return { delayMs, reloadsMs: delays.sort((one, other) => one - other) };
  });
}

/** Instants with random gaps of at most `maxGapMs`, until `runMs`. */
function instants(runMs: number, maxGapMs: number, random: Random): number[] {
  const drawn: number[] = [];
  for (let atMs = random.jitter(maxGapMs); atMs < runMs; atMs += random.jitter(maxGapMs))
    drawn.push(atMs);
  return drawn;
}

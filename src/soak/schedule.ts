/** Draws when which fault happens, before a run and from the seed only. */
import { SeededRandom, type Random } from '../runtime/random.js';
import { ODD_PORTS, ODD_REQUESTS, type OddRequest } from './odd_caller.js';
import { type SettingsChange, SETTINGS_CHANGES } from './settings_writer.js';

/** What happens to the fleet. */
export type Fault =
  | { readonly kind: 'restart'; readonly machine: number; readonly signal: 'SIGTERM' | 'SIGKILL' }
  | { readonly kind: 'reload'; readonly machines: readonly number[] }
  | { readonly kind: 'version' }
  | {
      readonly kind: 'settings';
      readonly machine: number;
      readonly change: SettingsChange;
      readonly isSignalled: boolean;
      /** How long the file is incomplete, where the change leaves it so, in milliseconds. */
      readonly halfMs: number;
    }
  | { readonly kind: 'upstream'; readonly machine: number; readonly downMs: number }
  | {
      readonly kind: 'odd-caller';
      readonly machine: number;
      readonly request: OddRequest;
      readonly port: number;
      /** Time until the caller resets its connection, in milliseconds. */
      readonly forMs: number;
    };

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
  /** How long its settings file is incomplete from its start on, in milliseconds; 0 if it is whole. */
  readonly halfMs: number;
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

const KILL_SHARE = 0.25;
const RELOAD_ALL_SHARE = 0.3;
const RELOADED = 3;
const SIGNALLED_SHARE = 0.6;
const MAX_HALF_MS = 400;
const HALF_START_SHARE = 0.3;
/** Starts read their settings late on a busy machine, and again for a second. */
const MAX_HALF_START_MS = 800;
const MAX_DOWN_MS = 1_500;
const MAX_ODD_MS = 500;
const MAX_STORM_GAP_MS = 5_000;
const MAX_STORM_VERSIONS = 6;
const VERSION_INTERVAL_MS = 300;
const MAX_START_DELAY_MS = 300;
const MAX_RELOADS = 2;
const MAX_RELOAD_DELAY_MS = 2_500;
const STARTS_PER_SECOND = 1;
const MS_PER_SECOND = 1_000;
/** Generators for each seed. */
const MAX_SERIES = 16;

/** Faults of one kind, with random gaps between them. */
interface Series {
  readonly maxGapMs: number;
  readonly draw: (machines: number, random: Random) => Fault;
}

const SERIES: readonly Series[] = [
  {
    maxGapMs: 2_000,
    draw: (machines, random) => ({
      kind: 'restart',
      machine: random.below(machines),
      signal: random.next() < KILL_SHARE ? 'SIGKILL' : 'SIGTERM',
    }),
  },
  {
    maxGapMs: 3_000,
    draw: (machines, random) => {
      const all = random.shuffled(Array.from({ length: machines }, (_, index) => index));
      const isAll = random.next() < RELOAD_ALL_SHARE;
      return { kind: 'reload', machines: isAll ? all : all.slice(0, RELOADED) };
    },
  },
  {
    maxGapMs: 1_500,
    draw: (machines, random) => ({
      kind: 'settings',
      machine: random.below(machines),
      change: SETTINGS_CHANGES[random.below(SETTINGS_CHANGES.length)]!,
      isSignalled: random.next() < SIGNALLED_SHARE,
      halfMs: random.jitter(MAX_HALF_MS),
    }),
  },
  {
    maxGapMs: 5_000,
    draw: (machines, random) => ({
      kind: 'upstream',
      machine: random.below(machines),
      downMs: random.jitter(MAX_DOWN_MS),
    }),
  },
  {
    maxGapMs: 200,
    draw: (machines, random) => ({
      kind: 'odd-caller',
      machine: random.below(machines),
      request: ODD_REQUESTS[random.below(ODD_REQUESTS.length)]!,
      port: ODD_PORTS[random.below(ODD_PORTS.length)]!,
      forMs: random.jitter(MAX_ODD_MS),
    }),
  },
];

/** The same options give the same schedule. */
export function scheduleOf(options: ScheduleOptions): Schedule {
  // A generator for each series, so that a new kind of fault leaves the other series as they are.
  const randomOf = (index: number) => new SeededRandom(options.seed * MAX_SERIES + index);
  const faults = SERIES.flatMap((series, index) => faultsOf(series, options, randomOf(index + 2)));
  faults.push(...versions(options, randomOf(0)));
  return {
    faults: faults.sort((one, other) => one.atMs - other.atMs),
    starts: startsOf(options, randomOf(1), randomOf(MAX_SERIES - 1)),
  };
}

function faultsOf({ maxGapMs, draw }: Series, options: ScheduleOptions, random: Random) {
  const planned: PlannedFault[] = [];
  const { machines, runMs } = options;
  for (let atMs = random.jitter(maxGapMs); atMs < runMs; atMs += random.jitter(maxGapMs))
    planned.push({ atMs, fault: draw(machines, random) });
  return planned;
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

function startsOf(
  { machines, runMs }: ScheduleOptions,
  random: Random,
  halves: Random,
): PlannedStart[][] {
  const count = Math.ceil((runMs / MS_PER_SECOND) * STARTS_PER_SECOND);
  return Array.from({ length: machines }, () =>
    Array.from({ length: count }, () => startOf(random, halves)),
  );
}

function startOf(random: Random, halves: Random): PlannedStart {
  const delayMs = random.jitter(MAX_START_DELAY_MS);
  // Over half of the reloads come in the first third, while most processes are still starting.
  const reloadsMs = Array.from(
    { length: random.below(MAX_RELOADS + 1) },
    () => random.next() * random.jitter(MAX_RELOAD_DELAY_MS),
  );
  const halfMs = halves.next() < HALF_START_SHARE ? halves.jitter(MAX_HALF_START_MS) : 0;
  return { delayMs, reloadsMs, halfMs };
}

/** The load of a guard, which it reports in headers of its answers. */
import { parseRate } from './rate_limit.js';

/** The rate limit that an upstream instance has stated, and how much of it is taken. */
export interface Rate {
  /** Requests per second, above 0. */
  readonly perSecond: number;
  /** Time until one more request could start, in milliseconds. */
  readonly waitMs: number;
}

/** How long work takes on the machine of an upstream instance, as it stated last. */
export interface Slowness {
  /** 1 as usual, 2.5 if work takes 2.5 times as long. */
  readonly factor: number;
  /** Age of the statement, in milliseconds. */
  readonly ageMs: number;
}

export interface Load {
  readonly inFlight: number;
  readonly slots: number;
  readonly waiting: number;
  /** Average time that a job holds a slot at the usual speed, in milliseconds; 0 if unknown. */
  readonly heldMs: number;
  /** Time until the uplink has sent all large answers with a reservation, in milliseconds. */
  readonly leavingMs: number;
  /** Absent without a rate limit. */
  readonly rate?: Rate | undefined;
  /** Absent if the instance does not state how fast its machine is. */
  readonly slowness?: Slowness | undefined;
}

/** Integers: in flight, slots, waiting, `heldMs` and `leavingMs`; the last is optional. */
const LOAD_PATTERN = /^(\d{1,6}),(\d{1,6}),(\d{1,6}),(\d{1,7})(?:,(\d{1,7}))?$/;
/** Requests per second, a decimal number, and `waitMs`, an integer. */
const RATE_PATTERN = /^([\d.]{1,30}),(\d{1,7})$/;
/** Decimal places of a formatted rate. */
const RATE_PLACES = 3;
/** Largest time with as many digits as the patterns accept, in milliseconds. */
const MAX_FORMATTED_MS = 9_999_999;
/** The factor in percent and its age in milliseconds, integers. */
const SLOWNESS_PATTERN = /^(\d{2,5}),(\d{1,7})$/;
const MIN_PERCENT = 10;
const MAX_PERCENT = 10_000;
const PERCENT = 100;

export function formatLoad({ inFlight, slots, waiting, heldMs, leavingMs }: Load): string {
  return `${inFlight},${slots},${waiting},${heldMs},${leavingMs}`;
}

/** Formatted apart from the load: processes of earlier releases reject a load with more numbers. */
export function formatRate({ perSecond, waitMs }: Rate): string {
  return `${perSecond.toFixed(RATE_PLACES)},${Math.min(MAX_FORMATTED_MS, Math.ceil(waitMs))}`;
}

/** Formatted apart from the load, for the same reason; the factor as stated, not decayed. */
export function formatSlowness({ factor, ageMs }: Slowness): string {
  return `${Math.round(factor * PERCENT)},${Math.min(MAX_FORMATTED_MS, Math.round(ageMs))}`;
}

/** Returns undefined if the text is not a valid load; an invalid rate or slowness is left out. */
export function parseLoad(
  text: string | undefined,
  rateText?: string,
  slownessText?: string,
): Load | undefined {
  const match = text === undefined ? null : LOAD_PATTERN.exec(text);
  if (!match) return undefined;
  const [, inFlight = 0, slots = 0, waiting = 0, heldMs = 0] = match.map(Number);
  const load = { inFlight, slots, waiting, heldMs, leavingMs: Number(match[5] ?? 0) };
  const rate = parseRateReport(rateText);
  const slowness = parseSlowness(slownessText);
  return { ...load, ...(rate && { rate }), ...(slowness && { slowness }) };
}

function parseSlowness(text: string | undefined): Slowness | undefined {
  const [, percentText, ageMs] = SLOWNESS_PATTERN.exec(text ?? '') ?? [];
  const factor = parseFactor(percentText);
  return factor === undefined ? undefined : { factor, ageMs: Number(ageMs) };
}

/** The factor of a slowness from its text in percent; undefined if absent or out of range. */
export function parseFactor(percentText: string | undefined): number | undefined {
  const percent = Number(percentText);
  return percent >= MIN_PERCENT && percent <= MAX_PERCENT ? percent / PERCENT : undefined;
}

function parseRateReport(text: string | undefined): Rate | undefined {
  const [, perSecondText = '', waitMs] = RATE_PATTERN.exec(text ?? '') ?? [];
  const perSecond = parseRate(perSecondText);
  return perSecond ? { perSecond, waitMs: Number(waitMs) } : undefined;
}
